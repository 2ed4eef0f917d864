//! Request and response bodies of chat completions in the `OpenAI` format.

use dandelionfront_coordination::Usage;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};
use snafu::Snafu;

/// Chat completion request; fields that the node does not interpret are passed through.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatBody {
    /// Route in the caller's request, model in the request to the engine.
    pub model: String,
    /// Messages, unparsed.
    pub messages: Vec<Box<RawValue>>,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Reason to reject a chat completion request.
#[derive(Debug, Snafu)]
pub enum ChatBodyError {
    /// The body is not a chat completion request.
    #[snafu(display("the body is no chat completion request ({source}); see the README"))]
    Malformed {
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A field has a value that is not supported.
    #[snafu(display("{field} has an unsupported value; {remedy}"))]
    Unsupported {
        /// Field of the body.
        field: &'static str,
        /// What to send instead.
        remedy: &'static str,
    },
}

impl ChatBody {
    /// Parses and validates a body.
    ///
    /// # Errors
    ///
    /// Fails when the body is malformed or uses an unsupported value.
    pub fn parse(bytes: &[u8]) -> Result<Self, ChatBodyError> {
        let body: Self =
            serde_json::from_slice(bytes).map_err(|source| ChatBodyError::Malformed { source })?;
        if body.messages.is_empty() {
            let remedy = "send at least one message";
            return Err(ChatBodyError::Unsupported { field: "messages", remedy });
        }
        if body.n.is_some_and(|completions| completions != 1) {
            let remedy = "leave it out; one completion is generated for each call";
            return Err(ChatBodyError::Unsupported { field: "n", remedy });
        }
        if body.completion_limit() == Some(0) {
            let remedy = "ask for at least one token";
            return Err(ChatBodyError::Unsupported { field: "max_tokens", remedy });
        }
        Ok(body)
    }

    /// Returns the maximum completion length that the caller asked for.
    #[must_use]
    pub fn completion_limit(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Returns an upper bound of the number of tokens in the messages: each token is at least one
    /// byte of text. Other fields, such as `tools`, are not counted.
    #[must_use]
    pub fn prompt_tokens_max(&self) -> u64 {
        self.messages.iter().map(|message| message.get().len() as u64).sum()
    }

    /// Returns the request body for an engine, which asks for a stream and the token usage.
    #[must_use]
    pub fn for_engine(mut self, model: &str, max_tokens: u64) -> Vec<u8> {
        model.clone_into(&mut self.model);
        self.max_tokens = Some(max_tokens);
        self.max_completion_tokens = None;
        self.stream = true;
        self.rest.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        serde_json::to_vec(&self).unwrap_or_default()
    }
}

/// Chunk of a streamed completion.
#[derive(Debug, Clone, Deserialize)]
struct Chunk {
    id: String,
    #[serde(default)]
    created: u64,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<WireUsage>,
}

#[derive(Debug, Clone, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Clone, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    tool_calls: Vec<Value>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[expect(clippy::struct_field_names, reason = "names of the wire format")]
struct WireUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    total_tokens: u64,
}

/// Assembles the chunks of a stream into a complete chat completion.
#[derive(Debug, Default)]
pub struct CompletionAssembler {
    id: String,
    created: u64,
    content: String,
    tool_calls: Vec<Value>,
    finish_reason: Option<String>,
    usage: Option<WireUsage>,
}

impl CompletionAssembler {
    /// Adds a chunk.
    ///
    /// # Errors
    ///
    /// Fails when `data` is not a completion chunk, or one of another completion.
    pub fn add(&mut self, data: &str) -> Result<(), serde_json::Error> {
        let chunk: Chunk = serde_json::from_str(data)?;
        if !self.id.is_empty() && chunk.id != self.id {
            return Err(serde::de::Error::custom("a chunk of another completion"));
        }
        self.id = chunk.id;
        self.created = chunk.created;
        self.usage = chunk.usage.or(self.usage);
        for choice in chunk.choices {
            self.content.push_str(choice.delta.content.as_deref().unwrap_or_default());
            for call in choice.delta.tool_calls {
                merge_tool_call(&mut self.tool_calls, call);
            }
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        Ok(())
    }

    /// Returns whether the engine sent a finish reason.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.finish_reason.is_some()
    }

    /// Returns the token usage, if the engine reported it.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        let WireUsage { prompt_tokens, completion_tokens, .. } = self.usage?;
        Some(Usage { prompt_tokens, completion_tokens })
    }

    /// Returns the complete chat completion as JSON, with the route as its model.
    #[must_use]
    pub fn completion(&self, route: &str) -> Vec<u8> {
        let mut message = json!({ "role": "assistant", "content": self.content });
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = Value::Array(self.tool_calls.clone());
        }
        let completion = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": route,
            "choices": [{ "index": 0, "message": message, "finish_reason": self.finish_reason }],
            "usage": self.usage,
        });
        completion.to_string().into_bytes()
    }
}

/// Appends the arguments in a chunk of a tool call to the call with that index, or adds a call.
fn merge_tool_call(calls: &mut Vec<Value>, mut part: Value) {
    let index = part["index"].as_u64().and_then(|index| usize::try_from(index).ok()).unwrap_or(0);
    if let Some(fields) = part.as_object_mut() {
        fields.remove("index");
    }
    let Some(call) = calls.get_mut(index) else {
        calls.push(part);
        return;
    };
    if let Some(more) = part["function"]["arguments"].as_str() {
        let known = call["function"]["arguments"].as_str().unwrap_or_default();
        call["function"]["arguments"] = Value::String(format!("{known}{more}"));
    }
}

/// Converts a complete chat completion to a single chunk of a stream.
#[must_use]
pub fn single_chunk(body: &[u8]) -> Vec<u8> {
    let Ok(mut completion) = serde_json::from_slice::<Value>(body) else {
        return body.to_vec();
    };
    completion["object"] = json!("chat.completion.chunk");
    if let Some(choice) = completion["choices"].get_mut(0).and_then(Value::as_object_mut)
        && let Some(message) = choice.remove("message")
    {
        choice.insert("delta".to_owned(), message);
    }
    completion.to_string().into_bytes()
}
