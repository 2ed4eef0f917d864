//! Request and answer bodies as stored in the journal and sent between nodes.

use std::fmt;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::de::{Error as _, MapAccess, Visitor};
use serde::ser::SerializeMap as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Body bytes, serialised as text if they are valid UTF-8 and as base64 otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Payload(pub Vec<u8>);

const BASE64_FIELD: &str = "base64";

impl Payload {
    /// Returns the bytes as text, replacing invalid sequences.
    #[must_use]
    pub fn to_text(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.0)
    }
}

impl From<&str> for Payload {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if let Ok(text) = std::str::from_utf8(&self.0) {
            return serializer.serialize_str(text);
        }
        let mut map = serializer.serialize_map(Some(1))?;
        map.serialize_entry(BASE64_FIELD, &STANDARD.encode(&self.0))?;
        map.end()
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PayloadVisitor)
    }
}

struct PayloadVisitor;

impl<'de> Visitor<'de> for PayloadVisitor {
    type Value = Payload;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a string or an object with the field base64")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Payload, E> {
        Ok(Payload(text.as_bytes().to_vec()))
    }

    fn visit_string<E: serde::de::Error>(self, text: String) -> Result<Payload, E> {
        Ok(Payload(text.into_bytes()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Payload, A::Error> {
        let Some((field, encoded)) = map.next_entry::<String, String>()? else {
            return Err(A::Error::missing_field(BASE64_FIELD));
        };
        if field != BASE64_FIELD {
            return Err(A::Error::unknown_field(&field, &[BASE64_FIELD]));
        }
        STANDARD.decode(encoded).map(Payload).map_err(A::Error::custom)
    }
}

/// A stored body or its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Stored in the journal record.
    Inline(Payload),
    /// Stored in a byte range of the object that holds the large bodies of one commit.
    Object {
        /// Key in the object store.
        key: String,
        /// Offset of the first byte.
        offset_bytes: u64,
        /// Length of the range.
        len_bytes: u64,
    },
}

impl Body {
    /// Returns the length of the body in bytes.
    #[must_use]
    pub fn len_bytes(&self) -> u64 {
        match self {
            Self::Inline(payload) => payload.0.len() as u64,
            Self::Object { len_bytes, .. } => *len_bytes,
        }
    }
}

impl From<&str> for Body {
    fn from(text: &str) -> Self {
        Self::Inline(text.into())
    }
}
