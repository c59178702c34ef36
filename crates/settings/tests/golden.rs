//! Golden tests of the operator's file and the settings object, byte for byte: all values of complete
//! and minimal ones, and the message of each error.
//!
//! The golden files are older than the terms of the code, so their labels use earlier terms.

use curlewusher_core::{DeduplicationScope, Idempotency, JobClass, KindId, TimeSpan};
use curlewusher_settings::operator::{FIELDS, LogTarget, OperatorFile, TakesEffect};
use curlewusher_settings::{Site, effective, read};
use golden::golden;
use serde_json::{Value, json};

#[path = "../../toml-diagnostics/tests/support/golden.rs"]
mod golden;

const FULL_FILE: &str = include_str!("golden/operator_full.toml");
const FULL_OBJECT: &str = include_str!("golden/settings_full.json");
const MINIMAL_OBJECT: &str = include_str!("golden/settings_least.json");

/// Returns the values of an operator's file, one per line.
fn operator_values(file: &OperatorFile) -> String {
    let (log, metrics) = (&file.log, &file.metrics);
    let mut lines = vec![
        format!("log.format: {}", json!(log.format)),
        format!("log.level: {}", json!(log.level)),
        format!("log.parts: {} entries", log.target_levels.len()),
        format!("log.lines_per_s: {}", log.lines_per_s.get()),
        format!("log.waiting_lines: {}", log.max_queued_lines.get()),
        format!("sender_side.idle_ms: {:?}", file.server.idle_timeout.duration()),
        format!("sender_side.crowded_retry_ms: {:?}", file.server.overload_retry_after.duration()),
        format!("next_hop.reuse_ms: {:?}", file.upstream.max_reuse_idle.duration()),
        format!("next_hop.withdrawal_ms: {:?}", file.upstream.cancellation_timeout.duration()),
        format!("metrics.answer_bounds_ms: {:?}", metrics.response_time_bounds_ms),
    ];
    lines.extend(
        LogTarget::ALL.map(|target| format!("level of {}: {}", target.name(), json!(log.level_of(target)))),
    );
    lines.join("\n") + "\n"
}

#[test]
fn operator_file_sets_every_field_then_every_value_is_as_recorded() {
    assert!(
        FIELDS.iter().all(|field| OperatorFile::sets(FULL_FILE, field)),
        "the complete file sets every field"
    );
    let file = OperatorFile::parse(FULL_FILE).expect("the complete file is valid");
    let defaults = OperatorFile::default().values();
    for ((field, value), (_, default)) in file.values().iter().zip(&defaults) {
        assert_ne!(value, default, "the complete file sets {} to a value other than its default", field.path);
    }
    golden!("operator_full.txt").assert_eq(&operator_values(&file));
    golden!("operator_default.txt").assert_eq(&operator_values(&OperatorFile::default()));
    let shown = file.values().into_iter().map(|(field, value)| {
        let when = if field.takes_effect == TakesEffect::OnReload { "at once" } else { "at the next start" };
        format!("{} = {value} ({when})\n", field.path)
    });
    golden!("operator_shown.txt").assert_eq(&shown.collect::<String>());
}

#[test]
fn operator_file_is_invalid_then_the_message_is_as_recorded() {
    golden!("operator_mistakes.txt").assert_outputs(|text| match OperatorFile::parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    });
}

fn idempotency_text(idempotency: &Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "safe".to_owned(),
        Idempotency::WithKey { scope: DeduplicationScope::All, window } => {
            format!("keyed all {}", window.as_micros())
        }
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window } => {
            format!("keyed zone {}", window.as_micros())
        }
        Idempotency::WithKey { scope: DeduplicationScope::Cell, window } => {
            format!("keyed cell {}", window.as_micros())
        }
        Idempotency::NonIdempotent => "unsafe".to_owned(),
    }
}

fn class_values(index: usize, class: &JobClass) -> String {
    let JobClass {
        idempotency,
        latency_objective,
        latency_objective_work_factor: work_factor,
        priority_weight,
        client_timeout,
        required_kind,
    } = class;
    let (idempotency, kind) = (idempotency_text(idempotency), required_kind.map(|KindId(number)| number));
    format!(
        "class {index}: {idempotency}, aim {}, stretch {work_factor}, worth {priority_weight}, give up {}, kind {kind:?}",
        latency_objective.as_micros(),
        client_timeout.as_micros()
    )
}

fn site_values(site: &Site) -> Vec<String> {
    let dispatcher = &site.dispatcher;
    let mut lines = vec![
        format!("nodes: {}", dispatcher.nodes),
        format!("rank: {}", dispatcher.node_index),
        format!("zone: {}", dispatcher.zone.0),
    ];
    lines.extend(dispatcher.classes.iter().enumerate().map(|(index, class)| class_values(index, class)));
    lines.extend([
        format!("tenant quotas: {:?}", dispatcher.tenant_quotas),
        format!("over-quota worth: {}", dispatcher.over_quota_weight),
        format!("list on request: {}", dispatcher.endpoints_on_request),
        format!("ask within: {}", dispatcher.max_poll_interval.as_micros()),
        format!("notified within: {}", dispatcher.assumed_notified_after.as_micros()),
        format!("sizes listed: {}", dispatcher.sizes_listed),
        format!("tells start: {}", dispatcher.reports_start),
        format!("accepts within: {}", dispatcher.accept_timeout.as_micros()),
        format!("may cancel: {}", dispatcher.may_cancel),
        format!("may duplicate: {}", dispatcher.may_hedge),
        format!("may tell: {}", dispatcher.may_gossip),
        format!("tell price: {}", dispatcher.gossip_price),
        format!("max attempts: {}", dispatcher.max_attempts),
        format!("max advice: {}", dispatcher.max_retry_after.as_micros()),
        format!("cross-zone price: {}", dispatcher.cross_zone_price),
        format!("cold share: {}", dispatcher.warm_up_floor),
        format!("warm-up: {}", dispatcher.warm_up.as_micros()),
        format!("overload factor: {}", dispatcher.overload_factor),
        format!("fall window: {}", dispatcher.overload_window.as_micros()),
        format!("names of classes: {:?}", site.class_names),
        format!("names of tenants: {:?}", site.tenant_names),
        format!("names of zones: {:?}", site.zone_names),
        format!("names of kinds: {:?}", site.kind_names),
        format!("connect timeout: {}", site.connect_timeout.as_micros()),
        format!("keep-alive: {}", site.keepalive.as_micros()),
        format!("max retry-after: {}", site.max_retry_after.as_micros()),
    ]);
    lines
}

/// Returns the values of a settings object, one per line.
fn values_of(object: &str) -> Vec<String> {
    site_values(&read(object).expect("the settings object is valid"))
}

#[test]
fn settings_object_has_all_fields_or_the_required_ones_then_every_value_is_as_recorded() {
    golden!("settings_full.txt").assert_eq(&(values_of(FULL_OBJECT).join("\n") + "\n"));
    golden!("settings_least.txt").assert_eq(&(values_of(MINIMAL_OBJECT).join("\n") + "\n"));
    let shown = |object: &str| {
        let written = serde_json::from_str(object).expect("the settings object is JSON");
        serde_json::to_string_pretty(&effective(written).expect("the settings object is valid"))
            .expect("the value can be serialized")
            + "\n"
    };
    golden!("settings_full_effective.json").assert_eq(&shown(FULL_OBJECT));
    golden!("settings_least_effective.json").assert_eq(&shown(MINIMAL_OBJECT));
}

/// Returns the full object after an edit. The form of an edit is `/path/of/field = value` or
/// `/path/of/field removed`.
fn edited(edit: &str) -> Value {
    let mut object: Value = serde_json::from_str(FULL_OBJECT).expect("the settings object is JSON");
    if let Some(path) = edit.strip_suffix(" removed") {
        let (parent, name) = path.rsplit_once('/').expect("the path has a parent");
        let table =
            object.pointer_mut(parent).and_then(Value::as_object_mut).expect("the parent is an object");
        assert!(table.remove(name).is_some(), "{edit}");
        return object;
    }
    let (path, value) = edit.split_once(" = ").expect("the edit has a value");
    let value = serde_json::from_str(value).expect("the new value is JSON");
    let (parent, name) = path.rsplit_once('/').expect("the path has a parent");
    match object.pointer_mut(parent).expect("the object has the parent") {
        Value::Array(list) => list[name.parse::<usize>().expect("the name is an index")] = value,
        table => table[name] = value,
    }
    object
}

#[test]
fn settings_object_has_one_field_changed_then_the_changed_values_or_the_message_are_as_recorded() {
    let unchanged = values_of(FULL_OBJECT);
    golden!("settings_edits.txt").assert_outputs(|edit| {
        let object = edited(edit);
        match (read(&object.to_string()), effective(object.clone())) {
            (Ok(site), Ok(_)) => {
                let values = site_values(&site);
                let changed: Vec<_> = values.into_iter().filter(|line| !unchanged.contains(line)).collect();
                if changed.is_empty() { "no change".to_owned() } else { changed.join("; ") }
            }
            // A value is out of bounds. All fields have the right types, so the values can be shown.
            (Err(error), Ok(_)) => error.to_string(),
            (site, Err(form_error)) => {
                let message = site.expect_err("a field is missing or has the wrong type").to_string();
                let (without_position, _) =
                    message.rsplit_once(" at line ").expect("the message ends with a position");
                assert_eq!(form_error.to_string(), format!("config: settings.{without_position}"));
                message
            }
        }
    });
}

#[test]
fn time_span_exceeds_a_year_then_it_is_limited_to_a_year() {
    const YEAR: TimeSpan = TimeSpan::from_secs(365 * 86_400);
    let mut object: Value = serde_json::from_str(FULL_OBJECT).expect("the settings object is JSON");
    let duration_paths = [
        "/services/1/dedupWindowUs",
        "/services/1/objectiveUs",
        "/services/1/giveUpUs",
        "/limits/maxRetryAfterUs",
        "/limits/connectTimeoutUs",
        "/limits/keepaliveUs",
        "/rules/askWithinUs",
        "/rules/warmUpUs",
        "/rules/fallUs",
    ];
    for path in &duration_paths {
        *object.pointer_mut(path).expect("the object has the field") = json!(u64::MAX);
    }
    let values = values_of(&object.to_string()).join("\n");
    // `maxRetryAfterUs` occurs twice: it also limits the `Retry-After` of the dispatcher's rejections.
    assert_eq!(values.matches(&YEAR.as_micros().to_string()).count(), duration_paths.len() + 1, "{values}");
}

#[test]
fn settings_object_is_a_list_then_the_message_shows_the_number_of_fields() {
    let message = read("[]").expect_err("a list is not a settings object").to_string();
    assert_eq!(message, "invalid length 0, expected struct Wire with 14 elements at line 1 column 2");
}
