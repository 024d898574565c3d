//! Tests of what log lines about runs say.

use super::run_stops::ListAge;

#[test]
fn age_of_a_workers_list_is_logged_in_milliseconds_or_as_none() {
    let no_list = ListAge::at(70_000_000, 0);
    let list = ListAge::at(70_000_000, 68_500_900);
    let requested_later = ListAge::at(70_000_000, 70_000_001);

    assert_eq!([no_list, list, requested_later].map(|age| age.to_string()), ["none", "1499", "0"]);
}
