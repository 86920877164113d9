"""Outcomes of attempts, the retry rules that follow from them and retry budgets."""
