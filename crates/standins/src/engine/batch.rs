//! Slots of the engine stand-in, assigned by priority and then in order of arrival.

use std::collections::BTreeSet;
use std::sync::Mutex;

use tokio::sync::Notify;

use crate::http::lock;

#[derive(Debug, Default)]
struct Queue {
    active: usize,
    arrivals: u64,
    waiting: BTreeSet<(u32, u64)>,
}

/// A fixed number of slots shared by all requests.
#[derive(Debug)]
pub struct Batch {
    slots: usize,
    queue: Mutex<Queue>,
    changed: Notify,
}

/// An occupied slot; dropping it frees the slot for the next request.
#[derive(Debug)]
pub struct SlotGuard<'a>(&'a Batch);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.queue).active -= 1;
        self.0.changed.notify_waiters();
    }
}

/// Removes a request from the queue when dropped, also if it was cancelled before it got a slot.
struct WaitingGuard<'a>(&'a Batch, (u32, u64));

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.queue).waiting.remove(&self.1);
    }
}

impl Batch {
    /// Creates a batch with `slots` free slots.
    pub fn new(slots: usize) -> Self {
        Self { slots, queue: Mutex::default(), changed: Notify::new() }
    }

    /// Waits for a slot; requests with a lower `priority` value go first.
    pub async fn acquire_slot(&self, priority: u32) -> SlotGuard<'_> {
        let ticket = {
            let mut queue = lock(&self.queue);
            queue.arrivals += 1;
            let ticket = (priority, queue.arrivals);
            queue.waiting.insert(ticket);
            ticket
        };
        let waiting = WaitingGuard(self, ticket);
        loop {
            let changed = self.changed.notified();
            {
                let mut queue = lock(&self.queue);
                if queue.active < self.slots && queue.waiting.first() == Some(&ticket) {
                    queue.active += 1;
                    break;
                }
            }
            changed.await;
        }
        drop(waiting);
        self.changed.notify_waiters();
        SlotGuard(self)
    }

    /// Returns the numbers of active and of waiting requests.
    pub fn load(&self) -> (usize, usize) {
        let queue = lock(&self.queue);
        (queue.active, queue.waiting.len())
    }
}
