"""What a VM tells of changes of a table that it lacks, and of where it got them."""

from result import Ok

from galenaferry.discovery.follower import STORE_SOURCE
from galenaferry.discovery.messages import TableNotice
from galenaferry.discovery.news import MAX_NEWS_AGE_MS, MAX_VERSIONS, News
from galenaferry.discovery.peer_fetches import FETCH_SPREAD_MS
from galenaferry.discovery.tests.builders import at, table_update
from galenaferry.discovery.tests.test_shared_table import TWO, make_non_reader


def test_a_copy_is_behind_since_the_first_news_of_the_oldest_version_that_it_lacks():
    news = News(0)
    news.on_version(13, 100.0)
    news.on_version(17, 300.0)
    assert news.behind_for(11, 400.0) == 300.0
    assert news.behind_for(13, 400.0) == 100.0
    assert news.behind_for(17, 400.0) == 0.0


def test_repeated_news_does_not_change_since_when_a_copy_is_behind():
    news = News(0)
    for now in (100.0, 200.0, 300.0):
        news.on_version(13, now)
    assert news.behind_for(11, 400.0) == 300.0


def test_a_copy_is_not_behind_news_that_no_vm_repeats():
    news = News(0)
    news.on_version(13, 100.0)
    assert news.behind_for(11, 200.0 + MAX_NEWS_AGE_MS) == 0.0
    news.on_version(12, 300.0 + MAX_NEWS_AGE_MS)
    assert news.behind_for(11, 400.0 + MAX_NEWS_AGE_MS) == 100.0


def test_news_of_many_versions_keeps_the_oldest():
    news = News(0)
    for version in range(1, 10 * MAX_VERSIONS):
        news.on_version(version, float(version))
    assert news.behind_for(0, 1_000.0) == 999.0
    assert news.behind_for(10 * MAX_VERSIONS - 2, 1_000.0) == 1_000.0 - (
        10 * MAX_VERSIONS - 1
    )


def test_an_update_tells_where_it_came_from():
    bench = make_non_reader()
    assert bench.follower.source == STORE_SOURCE
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(10), at(12), TWO))
    assert bench.follower.source == "10.0.0.1:7000"
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(14), at(14), ()))
    bench.run_for(FETCH_SPREAD_MS + 50.0)
    assert bench.follower.behind_for >= FETCH_SPREAD_MS + 50.0
    bench.peer_fetches[0][1](Ok(table_update(14, config=b"three")))
    assert bench.follower.was_behind_for >= FETCH_SPREAD_MS + 50.0
    assert bench.follower.behind_for == 0.0


def test_notices_that_follow_a_change_which_the_vm_lacks_are_counted():
    bench = make_non_reader()
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(10), at(12), TWO))
    assert bench.follower.missed_notices == 0
    bench.follower.on_notice("10.0.0.1:7000", TableNotice(at(14), at(16), TWO))
    assert bench.follower.missed_notices == 1
