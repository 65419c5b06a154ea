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
        hosts,
        rank,
        zone: top.at("my-zone").whole()? as u16,
        zones: top.at("zones").texts()?,
        step: top.at("step").span()?,
        list_on_request: top.at("membership-mode").text()? == "on_request",
        classes: top.at("lanes").list()?.into_iter().map(|c| class(c, tries)).collect::<Result<_, _>>()?,
        plans: top.at("plans").list()?.into_iter().map(plan).collect::<Result<_, _>>()?,
        rules: rules(top.at("invariants"))?,
        try_limit: tries,
        second_copies: limits.at("second-copies").yes()?,
        peers: limits.at("peers").yes()?,
        probes: limits.at("probes").yes()?,
        cancels: limits.at("cancelling").yes()?,
        retry_after_top: limits.at("max-retry-after").span()?,
        cold_bears: domain.at("cold-bears").real()?,
        keepalive: limits.at("keepalive").span()?,
        connect_timeout: limits.at("connect-timeout").span()?,
        open_top: limits.at("open-requests").whole()? as usize,
        load_fields: top.at("report").at("fields").texts()?,
        meter_period: domain.at("meter-period").span()?,
        unit_mean: domain.at("unit-mean").real()?,
        units_top: domain.at("units-top").real()?,
        share_worth: domain.at("share-worth").real()?,
        spare_worth: domain.at("beyond-share").real()?,
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

fn class(lane: Look, tries: u32) -> Result<Class, Fault> {
    Ok(Class {
        name: lane.at("name").text()?.into(),
        aim: lane.at("aim").span()?,
        deadline: lane.at("deadline").span()?,
        late_worth: lane.at("late-worth").real()?,
        value: lane.at("value").real()?,
        effect: match lane.at("idempotency").text()? {
            "idempotent" => Effect::Safe,
            "deduplicated" => Effect::Keyed,
            _ => Effect::Unsafe,
        },
        group: match lane.at("group").text()? {
            "all" => Group::All,
            "zone" => Group::Zone,
            _ => Group::Shard,
        },
        memory: lane.at("memory-span").span()?,
        ordered: lane.at("keep-order").yes()?,
        tries,
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

fn rules(rules: Look) -> Result<Rules, Fault> {
    Ok(Rules {
        ask_within: rules.at("ask-within").span()?,
        start_capacity: rules.at("start-capacity").real()?,
        warm_up: rules.at("warm-up").span()?,
        overload: rules.at("overload-factor").real()?,
        tip_after: rules.at("tip-after").span()?,
        order_rest: rules.at("order-pause").span()?,
        budget_span: rules.at("look-back").span()?,
        budget_free: rules.at("extra-free").number()?,
        budget_share: rules.at("further-ratio").number()?,
    })
}
