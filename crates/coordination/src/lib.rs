//! Coordination parts for schedulers of agent programs.
//!
//! The crate holds what many equal, diskless nodes need to act as one: ownership of programs
//! fenced by the platform's table, a group-committed journal, and the order and idempotency of
//! calls. It opens no sockets: the table, the object store and the clock are traits.

pub mod call;
pub mod clock;
pub mod config;
pub mod detector;
pub mod dispatch;
pub mod heartbeat;
pub mod ids;
pub mod incarnation;
pub mod journal;
pub mod limits;
pub mod members;
pub mod membership;
pub mod node;
pub mod owner;
pub mod payload;
pub mod peers;
pub mod platform;
pub mod program;
pub mod record;
pub mod refusal;
pub mod shards;

pub use call::{Answer, CallEvent, CallFeed, CallRequest, CallTarget, Usage};
pub use clock::Clock;
pub use config::{ConfigSnapshot, ConfigStore, ObjectSet};
pub use dispatch::{Dispatcher, Placement};
pub use journal::Journal;
pub use members::{Member, MemberState};
pub use node::{ConfigWatcher, Location, Node, NodeSettings};
pub use owner::{Admission, AttemptEnd, CallTicket, Owner};
pub use payload::Payload;
pub use peers::Peers;
pub use platform::{ObjectStore, Platform, TableService, VmList};
pub use program::Program;
pub use refusal::{Refusal, RefusalKind, RunState};
