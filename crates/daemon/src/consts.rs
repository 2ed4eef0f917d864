//! Names shared by several modules.

/// Header that names a caller's program.
pub const PROGRAM_ID_HEADER: &str = "program-id";
/// Header with the position of a call in its program.
pub const PROGRAM_SEQUENCE_HEADER: &str = "program-sequence";
/// Header that identifies repeats of a call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that names one request towards a backend server.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Header with the number that lets a backend server recognise an outdated sender.
pub const FENCING_NUMBER_HEADER: &str = "fencing-number";
/// Header with the scheduling priority towards an engine; lower goes first.
pub const PRIORITY_HEADER: &str = "priority";
/// Header with the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// Content type of event streams.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Content type of JSON bodies.
pub const JSON: &str = "application/json";
