//! Reads resources from YAML files.

use std::io::Read;

use anvilhook_core::names::ResourceName;
use anvilhook_core::resources::{Kind, ResourceKey, Spec};
use anvilhook_core::units::Revision;
use serde::Deserialize;
use serde_json::Value;

use crate::exits::{Failure, Result};

/// The file name that means standard input.
const STANDARD_INPUT: &str = "-";

/// `Declared` is one resource from a file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Declared {
    /// The file and document, for messages.
    pub place: String,
    /// The resource.
    pub key: ResourceKey,
    /// The version that it replaces, if the file contains one.
    pub version: Option<Revision>,
    /// The spec.
    pub spec: Spec,
}

/// `Document` is a resource in the format of a file. The output of `get -o json` has the same format.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    kind: Kind,
    name: ResourceName,
    #[serde(default)]
    version: Option<Revision>,
    spec: Value,
    #[serde(default, rename = "status")]
    _status: Option<Value>,
}

/// Reads the resources of all files, ordered so that each one refers only to earlier ones.
pub(crate) fn read_all(files: &[String]) -> Result<Vec<Declared>> {
    if files.is_empty() {
        return Err(Failure::bad_input("no file: give -f FILE, or -f - for standard input"));
    }
    let mut declared: Vec<Declared> = Vec::new();
    for file in files {
        for resource in parse(file, &read(file)?)? {
            if let Some(duplicate) = declared.iter().find(|other| other.key == resource.key) {
                let message = format!(
                    "{}: {} is already declared in {}",
                    resource.place, resource.key, duplicate.place
                );
                return Err(Failure::bad_input(message));
            }
            declared.push(resource);
        }
    }
    declared.sort_by_key(|resource| Kind::ALL.iter().position(|kind| *kind == resource.key.kind));
    Ok(declared)
}

fn read(file: &str) -> Result<String> {
    let mut text = String::new();
    let read = if file == STANDARD_INPUT {
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|err| Failure::bad_input(format!("{file}: cannot be read: {err}")))
}

fn parse(file: &str, text: &str) -> Result<Vec<Declared>> {
    let documents: Vec<Document> = serde_saphyr::from_multiple(text).map_err(|err| {
        let line = err.location().map(|at| format!(":{}", at.line())).unwrap_or_default();
        let rendered = err.without_snippet().to_string();
        Failure::bad_input(format!("{file}{line}: {rendered}"))
    })?;
    let numbered = documents.into_iter().enumerate();
    numbered.map(|(i, document)| declare(file, i + 1, document)).collect()
}

fn declare(file: &str, number: usize, document: Document) -> Result<Declared> {
    let key = ResourceKey { kind: document.kind, name: document.name };
    let place = format!("{file}, document {number}");
    let spec = Spec::decode(key.kind, document.spec).and_then(|spec| {
        spec.check()?;
        Ok(spec)
    });
    let spec = spec.map_err(|err| Failure::bad_input(format!("{place}, {key}: {err}")))?;
    Ok(Declared { place, key, version: document.version, spec })
}
