//! What callers may make a process hold.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use dandelionfront_coordination::holdings::{
    CONNECTION_BYTES, Holding, HoldingError, HoldingLimits, Holdings, Stage,
};

/// Memory of the accounts in these tests.
const MEMORY_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Longer than an arriving request may make no progress.
const LONG: Duration = Duration::from_secs(5);

fn account(connections_max: usize) -> Arc<Holdings> {
    Holdings::new(HoldingLimits { memory_max_bytes: MEMORY_MAX_BYTES, connections_max })
}

fn arriving(account: &Arc<Holdings>, bytes: u64, now: Instant) -> Result<Holding, HoldingError> {
    let holding = account.open(now)?;
    holding.set_stage(Stage::Arriving, now)?;
    holding.hold(bytes, now)?;
    Ok(holding)
}

/// Returns whether a connection was told to give up what it holds.
async fn is_displaced(holding: &Holding) -> bool {
    let mut displaced = pin!(holding.displaced());
    poll_fn(|cx| Poll::Ready(displaced.as_mut().poll(cx).is_ready())).await
}

#[test]
fn limits_follow_from_memory_and_sockets() {
    let megabytes = |count: u64| count * 1024 * 1024;
    let limits = HoldingLimits::of_process(megabytes(96), 2_875);
    assert_eq!(limits.memory_max_bytes, megabytes(36));
    assert_eq!(limits.connections_max, 718);
    // With little memory, that of the connections is the limit.
    let limits = HoldingLimits::of_process(megabytes(88), 7_000);
    assert_eq!(limits.connections_max, 704);
    assert_eq!(HoldingLimits::of_process(0, 0).connections_max, 1);
}

#[test]
fn single_request_may_hold_half_of_the_memory() {
    let (account, now) = (account(10), Instant::now());
    let holding = arriving(&account, 0, now).expect("room");
    let half = MEMORY_MAX_BYTES / 2 - CONNECTION_BYTES;
    assert_eq!(account.limits().request_max_bytes(), half);
    assert_eq!(holding.hold(half, now), Ok(()));
    assert_eq!(holding.hold(half + 1, now), Err(HoldingError::MemoryShort));
    assert_eq!(holding.request_bytes(), half);
    drop(holding);
    assert_eq!(account.held_bytes(), 0);
}

#[test]
fn small_requests_find_room_beside_large_ones_that_are_served() {
    let (account, now) = (account(1_000), Instant::now());
    let mut served = Vec::new();
    while let Ok(holding) = arriving(&account, 1024 * 1024, now) {
        holding.set_stage(Stage::Serving, now).expect("not displaced");
        served.push(holding);
    }
    assert!(served.len() >= 8, "{} large requests", served.len());
    let small: Result<Vec<_>, _> = (0..8).map(|_| arriving(&account, 16 * 1024, now)).collect();
    assert!(small.is_ok(), "{small:?}");
}

#[tokio::test]
async fn largest_stalled_request_gives_up_its_room_first() {
    let (account, start) = (account(10), Instant::now());
    let small = arriving(&account, 1024 * 1024, start).expect("room");
    let large = arriving(&account, 6 * 1024 * 1024, start).expect("room");
    let now = start + LONG;
    let moving = arriving(&account, 1024 * 1024, now).expect("room");
    assert_eq!(moving.hold(5 * 1024 * 1024, now), Ok(()));
    assert!(is_displaced(&large).await);
    assert!(!is_displaced(&small).await);
    assert_eq!(large.hold(1, now), Err(HoldingError::Displaced));
    assert_eq!(large.set_stage(Stage::Serving, now), Err(HoldingError::Displaced));
}

#[tokio::test]
async fn request_that_moves_gives_way_only_to_smaller_ones() {
    let (account, now) = (account(10), Instant::now());
    let large = arriving(&account, 7 * 1024 * 1024, now).expect("room");
    let larger = arriving(&account, 0, now).expect("room");
    assert_eq!(larger.hold(8 * 1024 * 1024, now), Err(HoldingError::MemoryShort));
    let smaller = arriving(&account, 5 * 1024 * 1024, now);
    assert!(smaller.is_ok());
    assert!(is_displaced(&large).await);
}

#[tokio::test]
async fn request_that_is_served_keeps_its_room_unless_its_caller_queues_others() {
    let (account, start) = (account(10), Instant::now());
    let served = arriving(&account, 6 * 1024 * 1024, start).expect("room");
    served.set_stage(Stage::Serving, start).expect("not displaced");
    let now = start + LONG;
    assert!(matches!(arriving(&account, 6 * 1024 * 1024, now), Err(HoldingError::MemoryShort)));
    assert!(!is_displaced(&served).await);
    served.set_stage(Stage::Queueing, now).expect("not displaced");
    assert!(arriving(&account, 6 * 1024 * 1024, now).is_ok());
    assert!(is_displaced(&served).await);
}

#[tokio::test]
async fn new_connection_takes_the_place_of_the_one_that_moves_least() {
    let (account, start) = (account(4), Instant::now());
    let served = arriving(&account, 0, start).expect("room");
    served.set_stage(Stage::Serving, start).expect("not displaced");
    let idle = account.open(start).expect("room");
    let stalled = arriving(&account, 0, start).expect("room");
    let moving = arriving(&account, 0, start).expect("room");
    let now = start + LONG;
    moving.note_progress(now);
    let _first = account.open(now).expect("a place");
    assert!(is_displaced(&stalled).await);
    assert!(!is_displaced(&idle).await);
    // One place of four may be closing beside them.
    assert!(matches!(account.open(now), Err(HoldingError::ConnectionsShort)));
    drop(stalled);
    let _second = account.open(now).expect("a place");
    assert!(is_displaced(&idle).await);
    assert!(!is_displaced(&moving).await);
    assert!(!is_displaced(&served).await);
}

#[tokio::test]
async fn answer_that_its_caller_does_not_read_gives_up_its_room_once_it_stalls() {
    let (account, start) = (account(10), Instant::now());
    let unread = arriving(&account, 6 * 1024 * 1024, start).expect("room");
    unread.set_stage(Stage::Answering, start).expect("not displaced");
    assert!(matches!(arriving(&account, 6 * 1024 * 1024, start), Err(HoldingError::MemoryShort)));
    assert!(arriving(&account, 6 * 1024 * 1024, start + LONG).is_ok());
    assert!(is_displaced(&unread).await);
}
