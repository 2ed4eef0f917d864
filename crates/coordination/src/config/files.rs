//! Parsing of TOML object files, whose `[kind.name]` tables may be split over several files.

use std::collections::HashMap;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use toml::de::{DeTable, DeValue};

use super::check::{Position, Problem, check};
use super::objects::{Backend, Budget, Key, Limit, Model, ObjectSet, Route, Service, Team};

/// Parses one object of a kind and returns it as JSON, with defaults filled in.
type ParseObject = fn(toml::Value) -> Result<Value, String>;

/// Kinds of objects, by table name, with their parsers.
const KINDS: &[(&str, ParseObject)] = &[
    ("team", parse_object::<Team>),
    ("key", parse_object::<Key>),
    ("model", parse_object::<Model>),
    ("service", parse_object::<Service>),
    ("backend", parse_object::<Backend>),
    ("route", parse_object::<Route>),
    ("budget", parse_object::<Budget>),
    ("limit", parse_object::<Limit>),
];

/// Positions of objects and fields in their files, by path such as `route.desk.service`.
#[derive(Debug, Default)]
pub struct Positions(HashMap<String, Position>);

/// Collects the objects of a set from the text of TOML files.
///
/// ```
/// use dandelionfront_coordination::config::ObjectFiles;
///
/// let mut files = ObjectFiles::default();
/// files.add("teams.toml", "[limit.small]\nrate_per_s = 5.0\nburst = 10\n");
/// assert_eq!(files.finish().unwrap().limit.len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct ObjectFiles {
    values: HashMap<String, serde_json::Map<String, Value>>,
    positions: Positions,
    problems: Vec<Problem>,
}

impl ObjectFiles {
    /// Parses the text of one file and adds its objects.
    pub fn add(&mut self, file: &str, text: &str) {
        let table = match DeTable::parse(text) {
            Ok(table) => table,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                let position = position(file, text, offset);
                let message = format!("{}; correct the syntax there", error.message().trim());
                return self.report(Some(position), file, &message);
            }
        };
        // `DeTable` provides the positions, `toml::Table` the values to deserialize.
        let values: toml::Table = toml::from_str(text).unwrap_or_default();
        for (kind, names) in table.get_ref() {
            let kind_position = position(file, text, kind.span().start);
            let kind = kind.get_ref().as_ref();
            let parse = KINDS.iter().find(|(known, _)| *known == kind).map(|(_, parse)| *parse);
            let (Some(parse), DeValue::Table(names)) = (parse, names.get_ref()) else {
                let known: Vec<&str> = KINDS.iter().map(|(known, _)| *known).collect();
                let message = format!("write [KIND.NAME] with KIND one of {}", known.join(", "));
                self.report(Some(kind_position), kind, &message);
                continue;
            };
            for (name, fields) in names {
                let name_position = position(file, text, name.span().start);
                let name = name.get_ref().as_ref();
                let object = format!("{kind}.{name}");
                self.record_field_positions(&object, fields.get_ref(), file, text);
                let value = values.get(kind).and_then(|names| names.get(name)).cloned();
                self.add_object(kind, name, value, parse, name_position);
            }
        }
    }

    /// Validates and returns the complete set.
    ///
    /// # Errors
    ///
    /// Returns all syntax, reference, cycle and range problems, with file and line where known.
    pub fn finish(self) -> Result<ObjectSet, Vec<Problem>> {
        self.finish_with_positions().map(|(set, _)| set)
    }

    /// Validates and returns the complete set, and the positions of its objects and fields.
    ///
    /// # Errors
    ///
    /// Returns the same problems as [`ObjectFiles::finish`].
    pub fn finish_with_positions(mut self) -> Result<(ObjectSet, Positions), Vec<Problem>> {
        let values = serde_json::to_value(&self.values).unwrap_or_default();
        match serde_json::from_value::<ObjectSet>(values) {
            Ok(set) => {
                for mut problem in check(&set) {
                    problem.position = self.positions.find(&problem.object);
                    self.problems.push(problem);
                }
                if self.problems.is_empty() {
                    return Ok((set, self.positions));
                }
            }
            Err(error) => self.report(None, "files", &error.to_string()),
        }
        Err(self.problems)
    }

    fn add_object(
        &mut self,
        kind: &str,
        name: &str,
        value: Option<toml::Value>,
        parse: ParseObject,
        position: Position,
    ) {
        let object = format!("{kind}.{name}");
        if let Some(earlier) = self.positions.0.get(&object).cloned() {
            let message = format!(
                "is also defined in {}:{}; keep one of the definitions",
                earlier.file, earlier.line
            );
            return self.report(Some(position), &object, &message);
        }
        self.positions.0.insert(object.clone(), position.clone());
        match value.ok_or_else(|| "expected a table of fields".to_owned()).and_then(parse) {
            Ok(value) => {
                self.values.entry(kind.to_owned()).or_default().insert(name.to_owned(), value);
            }
            Err(message) => self.report(Some(position), &object, &message),
        }
    }

    fn record_field_positions(
        &mut self,
        object: &str,
        fields: &DeValue<'_>,
        file: &str,
        text: &str,
    ) {
        let DeValue::Table(fields) = fields else {
            return;
        };
        for field in fields.keys() {
            let path = format!("{object}.{}", field.get_ref());
            let at = || position(file, text, field.span().start);
            self.positions.0.entry(path).or_insert_with(at);
        }
    }

    fn report(&mut self, position: Option<Position>, object: &str, message: &str) {
        let object = object.to_owned();
        self.problems.push(Problem { position, object, message: message.trim().to_owned() });
    }
}

impl Positions {
    /// Returns the position of a field, or of its object if the field is absent from the files.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<Position> {
        let object = || path.rsplit_once('.').map(|(object, _)| object);
        self.0.get(path).or_else(|| self.0.get(object()?)).cloned()
    }
}

fn parse_object<T: DeserializeOwned + Serialize>(value: toml::Value) -> Result<Value, String> {
    let object = T::deserialize(value).map_err(|error| error.message().to_owned())?;
    serde_json::to_value(object).map_err(|error| error.to_string())
}

fn position(file: &str, text: &str, offset: usize) -> Position {
    let line = text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1;
    Position { file: file.to_owned(), line }
}
