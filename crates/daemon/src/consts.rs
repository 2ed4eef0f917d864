//! Header names, content types and time limits shared by several modules.

pub use dandelionfront_coordination::routing::TIME_LIMIT_DEFAULT;

/// Header with the identifier of the caller's program.
pub const PROGRAM_ID_HEADER: &str = "program-id";
/// Header with the position of a call in its program.
pub const PROGRAM_SEQUENCE_HEADER: &str = "program-sequence";
/// Header with the key that identifies retries of a call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the identifier of a request to a backend server.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Header with the fencing token, by which a backend server detects a stale sender.
pub const FENCING_NUMBER_HEADER: &str = "fencing-number";
/// Header with the scheduling priority for an engine; lower values run first.
pub const PRIORITY_HEADER: &str = "priority";
/// Header with the time that the node waits for the backend server, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// End of the statuses that HTTP defines; its parser accepts larger ones, but none below 100.
pub const STATUS_END: u16 = 600;

/// Maximum size of the answer of a model engine or a plain service, which is kept until its end.
pub const BACKEND_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of an answer of the platform or of another node.
pub const INTERNAL_ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Content type of server-sent events.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Content type of JSON bodies.
pub const JSON: &str = "application/json";
