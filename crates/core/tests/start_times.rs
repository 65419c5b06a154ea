//! Tests of the conversion of endpoint starts to the core's clock, with wall clocks that are stepped.

use shaletack_core::start_times::StartTimes;
use std::time::Duration;

const HOUR: u64 = 3_600_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The Unix time at the zero of the core's clock, in milliseconds.
const UNIX: u64 = 1_000_000_000;

/// The Unix time when the core's clock shows `at` milliseconds, unless a clock is stepped.
fn unix(at: u64) -> Duration {
    ms(UNIX + at)
}

/// The state when the wall clock has been read once, after 10 s.
fn at_ten_seconds() -> StartTimes {
    let mut starts = StartTimes::default();
    starts.read_wall_clock(ms(10_000), unix(10_000));
    starts
}

#[test]
fn starts_of_the_first_list_are_compared_with_the_wall_clock() {
    let starts = at_ten_seconds();
    assert_eq!(starts.started_at(ms(10_000), unix(7_000)), ms(7_000));
    // A start in the future counts as a start now.
    assert_eq!(starts.started_at(ms(10_000), unix(10_000 + HOUR)), ms(10_000));
    // A start before the zero of the core's clock was long ago.
    assert_eq!(starts.started_at(ms(10_000), ms(5)), ms(0));
}

#[test]
fn starts_of_a_watched_list_are_compared_with_earlier_starts() {
    let mut starts = at_ten_seconds();
    starts.list_received(ms(10_000), None);
    // Nothing is known of the fleet's clock yet: a start counts from when it is received.
    assert_eq!(starts.started_at(ms(12_000), unix(11_000)), ms(12_000));
    starts.list_received(ms(12_000), Some(unix(11_000)));
    // That start was received after a second, so the next one is a second older than presumed, or more.
    assert_eq!(starts.started_at(ms(15_000), unix(12_000)), ms(13_000));
    // A start that is received sooner raises the lower bound of the fleet's clock; an older one does not
    // reduce it.
    starts.list_received(ms(15_000), Some(unix(14_900)));
    starts.list_received(ms(16_000), Some(unix(12_000)));
    assert_eq!(starts.started_at(ms(17_000), unix(16_000)), ms(16_100));
}

#[test]
fn an_age_greater_than_a_list_can_be_late_counts_as_none() {
    let mut starts = at_ten_seconds();
    starts.list_received(ms(10_000), Some(unix(10_000)));
    // The fleet's clock was set back by an hour.
    assert_eq!(starts.started_at(ms(12_000), ms(UNIX + 12_000 - HOUR)), ms(12_000));
    // The fleet's clock was set forward by an hour; a start before that was read on the old clock.
    starts.list_received(ms(13_000), Some(unix(13_000 + HOUR)));
    assert_eq!(starts.started_at(ms(14_000), unix(12_500)), ms(14_000));
    assert_eq!(starts.started_at(ms(14_000), unix(13_500 + HOUR)), ms(13_500));
    // After 300 s without a message an endpoint may have started as long ago.
    let mut starts = at_ten_seconds();
    starts.list_received(ms(10_000), Some(unix(10_000)));
    assert_eq!(starts.started_at(ms(310_000), unix(40_000)), ms(40_000));
}

#[test]
fn a_step_of_the_wall_clock_voids_the_reading_of_the_fleets_clock() {
    for step in [4_000_i64, -4_000] {
        let mut starts = at_ten_seconds();
        starts.list_received(ms(10_000), Some(unix(10_000)));
        // A small difference comes from a process that was delayed between reading the two clocks, not from a
        // step.
        starts.read_wall_clock(ms(11_000), unix(11_150));
        assert_eq!(starts.started_at(ms(12_000), unix(11_000)), ms(11_000));
        let stepped = |at: u64| unix(at.checked_add_signed(step).unwrap());
        starts.read_wall_clock(ms(13_000), stepped(13_000));
        assert_eq!(starts.started_at(ms(13_000), stepped(12_000)), ms(13_000));
        starts.list_received(ms(13_000), Some(stepped(13_000)));
        assert_eq!(starts.started_at(ms(15_000), stepped(14_000)), ms(14_000));
    }
}

#[test]
fn an_old_reading_of_the_fleets_clock_expires() {
    let mut starts = at_ten_seconds();
    starts.list_received(ms(10_000), Some(unix(10_000)));
    starts.list_received(ms(700_000), None);
    assert_eq!(starts.started_at(ms(701_000), unix(700_500)), ms(701_000));
}
