//! The one reader of the settings' JSON, for the drill and the initiator alike.

use crate::interface::*;
use crate::json::{self, Fault, Look};

/// The most hosts a fleet may have.
const MOST_HOSTS: f64 = 65_536.0;

/// Reads the settings; the text is used as a workplace.
pub fn read(text: &mut [u8]) -> Result<Settings, Fault> {
    let value = json::parse(text).map_err(|e| format!("the settings are {e}"))?;
    from(Look::object(&value, "the settings")?)
}

/// The settings from an object already read.
pub fn from(top: Look) -> Result<Settings, Fault> {
    let (limits, domain) = (top.at("limits"), top.at("domain"));
    let tries = limits.at("try-limit").whole()? as u32;
    let (hosts, rank) = fleet(top)?;
    Ok(Settings {
        initiators: hosts,
        rank,
        zone: top.at("my-zone").whole()? as u16,
        zones: top.at("zones").texts()?,
        min_batch_interval: top.at("step").span()?,
        endpoint_list_polled: top.at("membership-mode").text()? == "on_request",
        classes: top.at("lanes").list()?.into_iter().map(|c| class(c, tries)).collect::<Result<_, _>>()?,
        plans: top.at("plans").list()?.into_iter().map(plan).collect::<Result<_, _>>()?,
        rules: rules(top.at("invariants"))?,
        max_attempts: tries,
        hedging_allowed: limits.at("second-copies").yes()?,
        peer_messages_allowed: limits.at("peers").yes()?,
        health_checks_allowed: limits.at("probes").yes()?,
        cancellation_allowed: limits.at("cancelling").yes()?,
        max_retry_after: limits.at("max-retry-after").span()?,
        slow_start_units: domain.at("cold-bears").real()?,
        keep_alive_timeout: limits.at("keepalive").span()?,
        connect_timeout: limits.at("connect-timeout").span()?,
        max_open_requests: limits.at("open-requests").whole()? as usize,
        load_report_fields: top.at("report").at("fields").texts()?,
        meter_period: domain.at("meter-period").span()?,
        mean_request_units: domain.at("unit-mean").real()?,
        max_request_units: domain.at("units-top").real()?,
        within_share_weight: domain.at("share-worth").real()?,
        beyond_share_weight: domain.at("beyond-share").real()?,
    })
}

/// How many hosts there are and which this one is; 1 and 0 where nothing is said.
fn fleet(top: Look) -> Result<(u32, u32), Fault> {
    let count = |key: &str, unless: f64| {
        let n = top.at(key).number().map_err(|why| format!("{key}: {why}"))?.unwrap_or(unless);
        let whole = n.fract() == 0.0 && (0.0..=MOST_HOSTS).contains(&n);
        whole
            .then_some(n as u32)
            .ok_or_else(|| format!("{key}: {n} is not a whole number up to {MOST_HOSTS}"))
    };
    match (count("balancers", 1.0)?, count("rank", 0.0)?) {
        (0, _) => Err("balancers: there is at least one, this one".into()),
        (hosts, rank) if rank >= hosts => Err(format!("rank: {rank} is not below balancers, {hosts}")),
        fleet => Ok(fleet),
    }
}

fn class(lane: Look, tries: u32) -> Result<RequestClass, Fault> {
    Ok(RequestClass {
        name: lane.at("name").text()?.into(),
        latency_objective: lane.at("aim").span()?,
        deadline: lane.at("deadline").span()?,
        late_weight: lane.at("late-worth").real()?,
        priority_weight: lane.at("value").real()?,
        idempotency: match lane.at("idempotency").text()? {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Keyed,
            _ => Idempotency::NotIdempotent,
        },
        dedup_scope: match lane.at("group").text()? {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Shard,
        },
        dedup_window: lane.at("memory-span").span()?,
        ordered: lane.at("keep-order").yes()?,
        max_attempts: tries,
        retired: false,
    })
}

fn plan(plan: Look) -> Result<Plan, Fault> {
    Ok(Plan {
        name: plan.at("name").text()?.into(),
        rate: plan.at("base-rate").real()?,
        reserve: plan.at("guaranteed").real()?,
        limit: plan.at("never-over").real()?,
        burst: plan.at("limit-burst").real()?,
        tolerance: plan.at("tolerance").real()?,
        weight: plan.at("shares").number()?.unwrap_or(1.0),
        price: plan.at("price").number()?.unwrap_or(1.0),
        retired: false,
    })
}

fn rules(rules: Look) -> Result<SharedRules, Fault> {
    Ok(SharedRules {
        notified_within: rules.at("ask-within").span()?,
        slow_start_capacity: rules.at("start-capacity").real()?,
        slow_start_duration: rules.at("warm-up").span()?,
        overload_factor: rules.at("overload-factor").real()?,
        overload_window: rules.at("tip-after").span()?,
        ordering_pause: rules.at("order-pause").span()?,
        retry_budget_window: rules.at("look-back").span()?,
        retry_budget_minimum: rules.at("extra-free").number()?,
        retry_budget_ratio: rules.at("further-ratio").number()?,
    })
}
