//! Load of programs that run into an outage of the platform's store.
//!
//! Pattern: no turn can start for some seconds, and each caller makes only a few attempts before
//! its program fails. Short retry delays use up the attempts during the outage.

use std::time::Duration;

use dandelionfront_coordination::outage::{RETRY_SPREAD, retry_delay};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const MS: Duration = Duration::from_millis(1);
const OUTAGE: Duration = Duration::from_millis(6_400);
const TURN_DEADLINE: Duration = Duration::from_secs(4);
const TURN_TRIES: u32 = 3;
const ATTEMPTS_PER_TRY: u32 = 2;
const PROGRAMS_PER_S: u32 = 100;

#[derive(Debug, Default)]
struct Outcome {
    /// Programs whose turn started after the outage.
    survived: u32,
    failed: u32,
    /// Most attempts in any 100 ms after the outage.
    busiest: u32,
}

/// Simulates one turn for each program that reaches the node during the outage; `delay` returns the
/// retry delay for the time since the start of the outage.
fn simulate(mut delay: impl FnMut(Duration) -> Duration) -> Outcome {
    let mut random = StdRng::seed_from_u64(7);
    let mut outcome = Outcome::default();
    let mut returns = vec![0; 100];
    let programs = PROGRAMS_PER_S * u32::try_from(OUTAGE.as_millis()).expect("short") / 1_000;
    for program in 0..programs {
        let mut now = OUTAGE * program / programs;
        let mut is_served = false;
        'tries: for _ in 0..TURN_TRIES {
            let deadline = now + TURN_DEADLINE;
            for attempt in 1..=ATTEMPTS_PER_TRY {
                if now >= OUTAGE {
                    is_served = true;
                    break 'tries;
                }
                if attempt < ATTEMPTS_PER_TRY {
                    // Callers wait for at most a third of their remaining time.
                    now += delay(now).min(deadline.saturating_sub(now) / 3);
                }
            }
            now += MS * random.random_range(100..400);
        }
        if is_served {
            outcome.survived += 1;
            let bucket = usize::try_from(now.saturating_sub(OUTAGE).as_millis() / 100);
            returns[bucket.expect("short")] += 1;
        } else {
            outcome.failed += 1;
        }
    }
    outcome.busiest = returns.into_iter().max().unwrap_or_default();
    outcome
}

#[test]
fn delays_that_grow_with_the_outage_let_more_programs_survive_it() {
    let mut random = StdRng::seed_from_u64(8);
    let fixed = simulate(|_| 500 * MS);
    let growing = simulate(|outage| retry_delay(outage, random.random_range(RETRY_SPREAD)));
    println!("{growing:?}, fixed {fixed:?}");
    assert!(growing.survived * 2 > fixed.survived * 3, "{growing:?}, fixed {fixed:?}");
    assert!(growing.busiest * 4 < growing.survived, "{growing:?}");
}

#[test]
fn a_short_outage_delays_callers_only_briefly() {
    assert_eq!(retry_delay(Duration::ZERO, 1.0), 300 * MS);
    assert_eq!(retry_delay(900 * MS, 1.0), 900 * MS);
    assert_eq!(retry_delay(60_000 * MS, 1.0), 2_000 * MS);
}
