//! Admission of new programs while backend servers are overloaded.
//!
//! If every program is started during a burst, all of them wait in the queues of the servers and
//! finish late. New programs are therefore refused while even the least loaded candidate server has
//! a queue, so that the programs that have started finish in time. Requests of started programs are
//! always admitted.

use std::time::Duration;

/// Requests in flight per slot of a server from which new programs of an urgent route are refused.
const URGENT_LOAD_MAX: f64 = 2.0;
/// Requests in flight per slot from which new programs of other routes are refused.
const NORMAL_LOAD_MAX: f64 = 1.5;
/// Priority of urgent routes.
const URGENT_PRIORITY: u8 = 0;
/// Retry delay for each request that waits per slot; about the duration of a request.
const RETRY_DELAY_PER_LOAD: Duration = Duration::from_millis(400);
/// Minimum retry delay.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Returns the retry delay of a new program that is refused because of the load of the server that
/// it would start on; `None` if the program may start.
///
/// `load` is the number of requests in flight per slot.
#[must_use]
pub fn new_program_retry_delay(load: f64, priority: u8) -> Option<Duration> {
    let load_max = if priority == URGENT_PRIORITY { URGENT_LOAD_MAX } else { NORMAL_LOAD_MAX };
    (load >= load_max).then(|| RETRY_DELAY_MIN + RETRY_DELAY_PER_LOAD.mul_f64(load - 1.0))
}
