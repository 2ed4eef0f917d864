//! A burst of programs that exceeds what the backend servers can run.
//!
//! Pattern: three times the usual number of programs start within a few seconds. If all of them are
//! admitted, all of them wait in the servers' queues at each turn and finish late.

use std::collections::VecDeque;

use dandelionfront_coordination::overload::new_program_retry_delay;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const SERVERS: usize = 49;
const SLOTS: usize = 6;
const TURN_MS: u64 = 300;
const PAUSE_MS: u64 = 150;
const TURNS: u64 = 4;
const PROGRAMS_PER_S: u64 = 100;
const BURST_PROGRAMS_PER_S: u64 = 310;
const BURST_MS: std::ops::Range<u64> = 1_000..7_000;
const DURATION_MS: u64 = 14_000;
/// Time in which a program should finish: 1.3 times its time on idle servers, and 250 ms.
const OBJECTIVE_MS: u64 = (TURNS * TURN_MS + (TURNS - 1) * PAUSE_MS) * 13 / 10 + 250;
/// Callers try the first turn of a program at most this often.
const TRIES: u32 = 2;

struct Program {
    started_ms: u64,
    turns_left: u64,
    tries_left: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
}

fn simulate(refuses_new_programs: bool) -> Outcome {
    let mut random = StdRng::seed_from_u64(20_261_204);
    let mut outcome = Outcome::default();
    // Programs in each server's slots and queue, with the remaining time of their turns.
    let mut servers: Vec<VecDeque<(Program, u64)>> =
        (0..SERVERS).map(|_| VecDeque::new()).collect();
    let mut waiting: Vec<(u64, Program)> = Vec::new();
    let mut arrivals = 0.0;
    for now_ms in 0..DURATION_MS {
        for queue in &mut servers {
            queue.iter_mut().take(SLOTS).for_each(|(_, left_ms)| *left_ms -= 1);
            let ended: Vec<usize> =
                (0..queue.len().min(SLOTS)).filter(|at| queue[*at].1 == 0).collect();
            for at in ended.into_iter().rev() {
                let (mut program, _) = queue.remove(at).expect("in range");
                program.turns_left -= 1;
                if program.turns_left > 0 {
                    waiting.push((now_ms + PAUSE_MS, program));
                } else if now_ms <= program.started_ms + OBJECTIVE_MS {
                    outcome.in_time += 1;
                } else {
                    outcome.late += 1;
                }
            }
        }
        let per_s = if BURST_MS.contains(&now_ms) { BURST_PROGRAMS_PER_S } else { PROGRAMS_PER_S };
        arrivals += f64::from(u32::try_from(per_s).expect("small")) / 1_000.0;
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let program = Program { started_ms: now_ms, turns_left: TURNS, tries_left: TRIES };
            waiting.push((now_ms, program));
        }
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| *at <= now_ms);
        waiting = later;
        for (_, mut program) in due {
            let (first, second) =
                (random.random_range(0..SERVERS), random.random_range(0..SERVERS));
            let chosen = if servers[first].len() <= servers[second].len() { first } else { second };
            let in_flight = u32::try_from(servers[chosen].len()).expect("small");
            let load = f64::from(in_flight) / f64::from(u32::try_from(SLOTS).expect("small"));
            let delay = new_program_retry_delay(load, 1).filter(|_| refuses_new_programs);
            match delay.filter(|_| program.turns_left == TURNS) {
                None => servers[chosen].push_back((program, TURN_MS)),
                Some(delay) => {
                    program.tries_left -= 1;
                    if program.tries_left == 0 {
                        outcome.refused += 1;
                    } else {
                        let delay_ms = u64::try_from(delay.as_millis()).expect("short");
                        waiting.push((now_ms + delay_ms, program));
                    }
                }
            }
        }
    }
    outcome
}

#[test]
fn refusing_new_programs_in_a_burst_lets_more_programs_finish_in_time() {
    let all = simulate(false);
    let limited = simulate(true);
    println!("{limited:?}, all admitted {all:?}");
    assert!(limited.in_time * 4 > all.in_time * 5, "{limited:?}, all admitted {all:?}");
}

#[test]
fn urgent_programs_start_at_a_higher_load() {
    assert_eq!(new_program_retry_delay(1.2, 1), None);
    assert!(new_program_retry_delay(1.6, 1).is_some());
    assert_eq!(new_program_retry_delay(1.6, 0), None);
    assert!(new_program_retry_delay(2.5, 0) > new_program_retry_delay(2.0, 0));
}
