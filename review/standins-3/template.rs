//! The platform's templates: fills the settings' template of the deploy file from a table of fields.

use super::json::Json;

/// Fills a template; `None` if it is not written as the pages say.
pub fn fill(template: &str, fields: &Json) -> Option<String> {
    section(template, &[fields])
}

fn section(template: &str, scopes: &[&Json]) -> Option<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        text.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let end = after.find("}}")?;
        let name = after[..end].trim();
        rest = &after[end + 2..];
        if let Some(name) = name.strip_prefix('#') {
            let close = format!("{{{{/{name}}}}}");
            let length = rest.find(&close)?;
            let inner = &rest[..length];
            rest = &rest[length + close.len()..];
            match look_up(name, scopes) {
                None | Some(Json::Null | Json::Bool(false)) => {}
                Some(Json::List(list)) => {
                    for entry in list {
                        let scopes: Vec<&Json> =
                            [entry].into_iter().chain(scopes.iter().copied()).collect();
                        text.push_str(&section(inner, &scopes)?);
                    }
                }
                Some(value) => {
                    let scopes: Vec<&Json> =
                        [value].into_iter().chain(scopes.iter().copied()).collect();
                    text.push_str(&section(inner, &scopes)?);
                }
            }
        } else {
            let (name, as_json) = match name.strip_suffix("|json") {
                Some(name) => (name, true),
                None => (name, false),
            };
            match look_up(name, scopes) {
                Some(Json::Text(value)) if !as_json => text.push_str(value),
                Some(Json::Null) | None if !as_json => {}
                Some(value) => text.push_str(&written(value)),
                None => text.push_str("null"),
            }
        }
    }
    text.push_str(rest);
    Some(text)
}

/// Finds a dotted name in the first scope that has its first part.
fn look_up<'a>(name: &str, scopes: &[&'a Json]) -> Option<&'a Json> {
    if name == "." {
        return scopes.first().copied();
    }
    scopes.iter().find_map(|scope| {
        name.split('.').try_fold(*scope, |value, part| match value {
            Json::List(list) => list.get(part.parse::<usize>().ok()?),
            other => other.get(part),
        })
    })
}

/// Writes a value as JSON.
fn written(value: &Json) -> String {
    match value {
        Json::Null => "null".to_owned(),
        Json::Bool(yes) => yes.to_string(),
        Json::Number(text) => text.clone(),
        Json::Text(text) => format!("\"{text}\""),
        Json::List(list) => {
            let entries: Vec<String> = list.iter().map(written).collect();
            format!("[{}]", entries.join(","))
        }
        Json::Table(table) => {
            let entries = table
                .iter()
                .map(|(key, value)| format!("\"{key}\":{}", written(value)));
            format!("{{{}}}", entries.collect::<Vec<_>>().join(","))
        }
    }
}
