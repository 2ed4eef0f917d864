//! Coordination library for schedulers of agent programs.
//!
//! The crate lets many equal, diskless nodes act as one scheduler: it provides fenced ownership of
//! programs, recorded in the platform's tables, a journal with group commit, and ordered,
//! idempotent calls. It opens no sockets: the platform, the messages between nodes and the clock
//! are traits.
//!
//! A scheduler that only needs validated objects and the selection of backend servers can use the
//! [`config`] module and [`Dispatcher`]:
//!
//! ```
//! use dandelionfront_coordination::config::ObjectFiles;
//! use dandelionfront_coordination::{ConfigSnapshot, Dispatcher};
//!
//! let mut files = ObjectFiles::default();
//! files.add(
//!     "objects.toml",
//!     r#"
//!     [model.geo-llm]
//!     context_tokens = 32768
//!     [backend.geo-1]
//!     address = "10.0.0.7:8000"
//!     zone = "ne-east-a"
//!     serves = ["geo-llm"]
//!     "#,
//! );
//! let config = ConfigSnapshot::new(1, files.finish().expect("no problems"));
//! let dispatcher = Dispatcher::default();
//! let placement = dispatcher.place(&config, "geo-llm", &[]).expect("a backend server");
//! assert_eq!(placement.address, "10.0.0.7:8000");
//! ```
//!
//! [`Node`] combines membership, failure detection, shards, journal, programs and team limits. It
//! needs a [`TableService`], an [`ObjectStore`], a [`Clock`] and [`Peers`], and runs on any
//! single-threaded executor.

pub mod call;
pub mod clock;
pub mod cold;
pub mod config;
pub mod crashes;
pub mod detector;
pub mod dispatch;
pub mod events;
pub mod freshness;
pub mod heartbeat;
pub mod history;
pub mod holdings;
pub mod ids;
pub mod incarnation;
pub mod journal;
pub mod ledger;
pub mod lending;
pub mod limits;
pub mod load;
pub mod members;
pub mod membership;
pub mod moves;
pub mod node;
pub mod outage;
pub mod overload;
pub mod owner;
pub mod pauses;
pub mod payload;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod program;
pub mod prompts;
pub mod protocol;
pub mod ranking;
pub mod reach;
pub mod record;
pub mod refusal;
pub mod request;
pub mod routing;
pub mod rows;
pub mod server_limits;
pub mod servers;
pub mod shards;
pub mod speed;
pub mod store_pace;
pub mod streams;
pub mod turns;
pub mod zones;

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
