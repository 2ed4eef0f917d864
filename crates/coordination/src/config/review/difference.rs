//! Differences between two configurations, without keys.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value, json};

use super::table::objects_by_kind;
use crate::config::objects::{ObjectSet, ObjectsByKind};
use crate::routing::RoutingSpec;

/// Fields whose values are not shown.
const SECRET_FIELDS: [&str; 2] = ["keys", "sha256"];

/// An object that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Kind of the object, such as `team`.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// What happened to the object.
    #[serde(flatten)]
    pub alteration: Alteration,
}

/// What happened to an object.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Alteration {
    /// It is only in the new configuration.
    Added,
    /// It is only in the old configuration.
    Removed,
    /// Its fields differ.
    Changed {
        /// Fields that differ.
        fields: Vec<FieldChange>,
    },
}

/// A field with another value.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Old value; null if the field was not set.
    pub old: Value,
    /// New value; null if the field is not set.
    pub new: Value,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sign, fields) = match &self.alteration {
            Alteration::Added => ('+', &[][..]),
            Alteration::Removed => ('-', &[][..]),
            Alteration::Changed { fields } => ('~', &fields[..]),
        };
        write!(formatter, "{sign} {}.{}", self.kind, self.name)?;
        for (position, FieldChange { field, old, new }) in fields.iter().enumerate() {
            let separator = if position == 0 { ':' } else { ',' };
            write!(formatter, "{separator} {field} {old} -> {new}")?;
        }
        Ok(())
    }
}

/// Returns what turns the object set `old` into `new`.
#[must_use]
pub fn object_differences(old: &ObjectSet, new: &ObjectSet) -> Vec<Difference> {
    differences(&old.by_kind(), &new.by_kind())
}

/// Returns what turns the routing configuration `old` into `new`.
#[must_use]
pub fn table_differences(old: &RoutingSpec, new: &RoutingSpec) -> Vec<Difference> {
    differences(&objects_by_kind(old), &objects_by_kind(new))
}

fn differences(old: &ObjectsByKind, new: &ObjectsByKind) -> Vec<Difference> {
    let names: BTreeSet<(&str, &str)> = names(old).chain(names(new)).collect();
    let difference = |(kind, name): (&str, &str)| {
        let value = |objects: &ObjectsByKind| objects.get(kind)?.get(name).cloned();
        let alteration = alteration(value(old).as_ref(), value(new).as_ref())?;
        Some(Difference { kind: kind.to_owned(), name: name.to_owned(), alteration })
    };
    names.into_iter().filter_map(difference).collect()
}

/// Returns the kinds and names of objects.
fn names(objects: &ObjectsByKind) -> impl Iterator<Item = (&str, &str)> {
    objects
        .iter()
        .flat_map(|(kind, names)| names.keys().map(move |name| (kind.as_str(), name.as_str())))
}

fn alteration(old: Option<&Value>, new: Option<&Value>) -> Option<Alteration> {
    match (old, new) {
        (None, Some(_)) => Some(Alteration::Added),
        (Some(_), None) => Some(Alteration::Removed),
        (Some(old), Some(new)) if old != new => {
            Some(Alteration::Changed { fields: field_changes(old, new) })
        }
        _ => None,
    }
}

fn field_changes(old: &Value, new: &Value) -> Vec<FieldChange> {
    let none = Map::new();
    let (old, new) = (old.as_object().unwrap_or(&none), new.as_object().unwrap_or(&none));
    let added = new.keys().filter(|field| !old.contains_key(*field));
    let fields = old.keys().chain(added);
    fields.filter_map(|field| field_change(field, old.get(field), new.get(field))).collect()
}

fn field_change(field: &str, old: Option<&Value>, new: Option<&Value>) -> Option<FieldChange> {
    let (old, new) = (old.unwrap_or(&Value::Null), new.unwrap_or(&Value::Null));
    if old == new {
        return None;
    }
    let (old, new) = if SECRET_FIELDS.contains(&field) {
        (without_secrets(old, new, "removed"), without_secrets(new, old, "added"))
    } else {
        (old.clone(), new.clone())
    };
    Some(FieldChange { field: field.to_owned(), old, new })
}

/// Returns a text in place of the secrets in `value`: for a list, their number and how many of them
/// `other` lacks, which were `changed`.
fn without_secrets(value: &Value, other: &Value, changed: &str) -> Value {
    let (Some(secrets), Some(others)) = (value.as_array(), other.as_array()) else {
        return json!("not shown");
    };
    let changed_count = secrets.iter().filter(|secret| !others.contains(secret)).count();
    json!(format!("{} in all, {changed_count} {changed}", secrets.len()))
}
