"""Detection of gray failures from real traffic.

Every VM counts the failures and slow responses that it sees and reports them to the
home VMs of the service. A home VM merges the reports of all VMs, compares each
instance with its siblings and publishes verdicts. From the verdicts every VM computes
the weights of the instances. A floor guarantees that a minimum share of them gets full
traffic.

``galenaferry.entry`` uses all of this. ``galenaferry.node`` chooses instances by
``placing`` instead and needs only ``posteriors`` and ``messages``.
"""
