//! The parser of the settings' JSON, shared by the program and the simulator adapter.
//!
//! This is the only place that maps the JSON keys, which are fixed from outside, to the terms of the code.

use crate::interface::{DedupScope, Idempotency, Plan, RequestClass, Settings, SharedRules};
use crate::json::{self, JsonError, JsonField};
use thiserror::Error;

/// The maximum number of initiators in a fleet.
const MAX_INITIATORS: f64 = 65_536.0;

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text cannot be parsed.
    #[error("invalid settings: {0}")]
    Syntax(#[source] JsonError),
    /// A value has another type than expected.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The value of a named key has another type than expected.
    #[error("{key}: {source}")]
    Key {
        /// The key.
        key: &'static str,
        /// The error of its value.
        source: JsonError,
    },
    /// A count is not a whole number from 0 to 65,536.
    #[error("{key}: {value} is not a whole number from 0 to {max}", max = MAX_INITIATORS)]
    NotACount {
        /// The key.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// The number of initiators is 0.
    #[error("balancers: must be at least 1")]
    NoInitiators,
    /// This initiator's rank is not below the number of initiators.
    #[error("rank: {rank} is not below balancers ({initiators})")]
    RankTooGreat {
        /// This initiator's rank, from 0.
        rank: u32,
        /// The number of initiators.
        initiators: u32,
    },
}

/// Parses the settings; the text's bytes are overwritten.
pub fn read(text: &mut [u8]) -> Result<Settings, SettingsError> {
    let value = json::parse(text).map_err(SettingsError::Syntax)?;
    read_settings(JsonField::object(&value, "the settings")?)
}

/// Reads the settings from a parsed JSON object.
pub fn read_settings(top: JsonField) -> Result<Settings, SettingsError> {
    let (limits, domain) = (top.field("limits"), top.field("domain"));
    let max_attempts = limits.field("try-limit").integer()? as u32;
    let Fleet { initiators, rank } = read_fleet(top)?;
    Ok(Settings {
        initiators,
        rank,
        zone: top.field("my-zone").integer()? as u16,
        zones: top.field("zones").texts()?,
        min_batch_interval: top.field("step").duration()?,
        endpoint_list_polled: top.field("membership-mode").text()? == "on_request",
        classes: read_classes(top.field("lanes"), max_attempts)?,
        plans: read_plans(top.field("plans"))?,
        rules: read_rules(top.field("invariants"))?,
        max_attempts,
        hedging_allowed: limits.field("second-copies").boolean()?,
        peer_messages_allowed: limits.field("peers").boolean()?,
        health_checks_allowed: limits.field("probes").boolean()?,
        cancellation_allowed: limits.field("cancelling").boolean()?,
        max_retry_after: limits.field("max-retry-after").duration()?,
        slow_start_units: domain.field("cold-bears").number()?,
        keep_alive_timeout: limits.field("keepalive").duration()?,
        connect_timeout: limits.field("connect-timeout").duration()?,
        max_open_requests: limits.field("open-requests").integer()? as usize,
        max_volumes: 0,
        load_report_fields: top.field("report").field("fields").texts()?,
        meter_period: domain.field("meter-period").duration()?,
        mean_request_units: domain.field("unit-mean").number()?,
        max_request_units: domain.field("units-top").number()?,
        within_share_weight: domain.field("share-worth").number()?,
        beyond_share_weight: domain.field("beyond-share").number()?,
    })
}

/// The number of initiators and the rank of this one.
struct Fleet {
    initiators: u32,
    rank: u32,
}

/// Reads the fleet; without the keys there is one initiator, of rank 0.
fn read_fleet(top: JsonField) -> Result<Fleet, SettingsError> {
    let initiators = read_count(top, "balancers", 1.0)?;
    let rank = read_count(top, "rank", 0.0)?;
    if initiators == 0 {
        Err(SettingsError::NoInitiators)
    } else if rank >= initiators {
        Err(SettingsError::RankTooGreat { rank, initiators })
    } else {
        Ok(Fleet { initiators, rank })
    }
}

fn read_count(top: JsonField, key: &'static str, default: f64) -> Result<u32, SettingsError> {
    let stated = top.field(key).optional_number().map_err(|source| SettingsError::Key { key, source })?;
    let value = stated.unwrap_or(default);
    if value.fract() == 0.0 && (0.0..=MAX_INITIATORS).contains(&value) {
        Ok(value as u32)
    } else {
        Err(SettingsError::NotACount { key, value })
    }
}

fn read_classes(lanes: JsonField, max_attempts: u32) -> Result<Vec<RequestClass>, JsonError> {
    lanes.list()?.into_iter().map(|lane| read_class(lane, max_attempts)).collect()
}

fn read_class(lane: JsonField, max_attempts: u32) -> Result<RequestClass, JsonError> {
    Ok(RequestClass {
        name: lane.field("name").text()?.to_owned(),
        latency_objective: lane.field("aim").duration()?,
        deadline: lane.field("deadline").duration()?,
        late_weight: lane.field("late-worth").number()?,
        priority_weight: lane.field("value").number()?,
        idempotency: match lane.field("idempotency").text()? {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Keyed,
            _ => Idempotency::NotIdempotent,
        },
        dedup_scope: match lane.field("group").text()? {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Shard,
        },
        dedup_window: lane.field("memory-span").duration()?,
        ordered: lane.field("keep-order").boolean()?,
        max_attempts,
        retired: false,
    })
}

fn read_plans(plans: JsonField) -> Result<Vec<Plan>, JsonError> {
    plans.list()?.into_iter().map(read_plan).collect()
}

fn read_plan(plan: JsonField) -> Result<Plan, JsonError> {
    Ok(Plan {
        name: plan.field("name").text()?.to_owned(),
        rate: plan.field("base-rate").number()?,
        reserve: plan.field("guaranteed").number()?,
        limit: plan.field("never-over").number()?,
        burst: plan.field("limit-burst").number()?,
        tolerance: plan.field("tolerance").number()?,
        weight: plan.field("shares").optional_number()?.unwrap_or(1.0),
        price: plan.field("price").optional_number()?.unwrap_or(1.0),
        retired: false,
    })
}

fn read_rules(rules: JsonField) -> Result<SharedRules, JsonError> {
    Ok(SharedRules {
        notified_within: rules.field("ask-within").duration()?,
        slow_start_capacity: rules.field("start-capacity").number()?,
        slow_start_duration: rules.field("warm-up").duration()?,
        overload_factor: rules.field("overload-factor").number()?,
        overload_window: rules.field("tip-after").duration()?,
        ordering_pause: rules.field("order-pause").duration()?,
        retry_budget_window: rules.field("look-back").duration()?,
        retry_budget_minimum: rules.field("extra-free").optional_number()?,
        retry_budget_ratio: rules.field("further-ratio").optional_number()?,
    })
}
