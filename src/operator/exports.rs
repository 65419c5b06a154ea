//! Checks the teams' contracts, which become the plans of the settings, and the exports that refer to them.

use super::fault::{Faults, Problem};
use super::records::{self, Contract, Team};
use super::{Export, Extent};
use crate::interface::{Plan, Settings};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// How far sending may go beyond a limit's burst for a moment, as a part of the burst; at least one request.
const BURST_TOLERANCE: f64 = 0.1;

/// The number of each plan, by the names of its team and its own.
pub(super) type Contracts = BTreeMap<String, BTreeMap<String, u16>>;

/// Adds each contract to the settings as a plan.
pub(super) fn check_contracts(teams: &[Team], settings: &mut Settings, faults: &mut Faults) -> Contracts {
    let mut contracts = Contracts::new();
    for (team_index, team) in teams.iter().enumerate() {
        let path = format!("/teams/{team_index}");
        let plans = check_team(team, &path, settings, faults);
        // What refers to a name that stands twice is no fault of its own.
        match contracts.entry(team.name.clone()) {
            Entry::Vacant(place) => drop(place.insert(plans)),
            Entry::Occupied(_) => {
                faults.add(format!("{path}/name"), Problem::Duplicate(team.name.clone()));
            }
        }
    }
    contracts
}

fn check_team(
    team: &Team,
    team_path: &str,
    settings: &mut Settings,
    faults: &mut Faults,
) -> BTreeMap<String, u16> {
    let mut plans = BTreeMap::new();
    for (index, contract) in team.contracts.iter().enumerate() {
        let path = format!("{team_path}/contracts/{index}");
        let Contract { plan, reserve, limit, burst, .. } = contract;
        if *limit > 0.0 && *burst <= 0.0 {
            faults.add(format!("{path}/burst"), Problem::LimitWithoutBurst);
        }
        if *limit > 0.0 && reserve > limit {
            let problem = Problem::ReserveBeyondLimit { reserve: *reserve, limit: *limit };
            faults.add(format!("{path}/reserve"), problem);
        }
        let number = settings.plans.len() as u16;
        settings.plans.push(plan_of(contract, &team.name, settings.max_request_units));
        if plans.insert(plan.clone(), number).is_some() {
            faults.add(format!("{path}/plan"), Problem::Duplicate(plan.clone()));
        }
    }
    plans
}

fn plan_of(contract: &Contract, team: &str, max_request_units: f64) -> Plan {
    let Contract { plan, reserve, limit, burst, weight } = contract;
    let limited = *limit > 0.0;
    Plan {
        name: format!("{team}/{plan}"),
        rate: if limited { *limit } else { *reserve },
        reserve: *reserve,
        limit: *limit,
        burst: *burst,
        tolerance: if limited { (burst * BURST_TOLERANCE).max(max_request_units) } else { 0.0 },
        weight: *weight,
        price: 1.0,
        retired: false,
    }
}

/// The exports that are sound; `shards`: those that endpoints are known to hold, if that is known.
pub(super) fn check_exports(
    exports: Vec<records::Export>,
    contracts: &Contracts,
    shards: Option<&BTreeSet<u16>>,
    faults: &mut Faults,
) -> Vec<Export> {
    let mut names = BTreeSet::new();
    let mut checked = Vec::new();
    for (index, export) in exports.into_iter().enumerate() {
        let path = format!("/exports/{index}");
        if !names.insert(export.name.clone()) {
            faults.add(format!("{path}/name"), Problem::Duplicate(export.name.clone()));
        }
        checked.extend(check_export(export, &path, contracts, shards, faults));
    }
    checked
}

fn check_export(
    export: records::Export,
    path: &str,
    contracts: &Contracts,
    shards: Option<&BTreeSet<u16>>,
    faults: &mut Faults,
) -> Option<Export> {
    let extents = check_extents(&export, path, shards, faults);
    let plan = find_plan(&export, path, contracts, faults);
    let volume = u64::from_str_radix(&export.volume, 16)
        .map_err(|error| faults.add(format!("{path}/volume"), Problem::BadVolume(error)));
    Some(Export {
        name: export.name,
        team: export.team,
        volume: volume.ok()?,
        plan: plan?,
        initiators: export.hosts,
        write_back: export.write_back,
        size: export.size,
        extents,
    })
}

fn find_plan(
    export: &records::Export,
    path: &str,
    contracts: &Contracts,
    faults: &mut Faults,
) -> Option<u16> {
    let Some(plans) = contracts.get(&export.team) else {
        faults.add(format!("{path}/team"), Problem::UnknownTeam(export.team.clone()));
        return None;
    };
    let plan = plans.get(&export.plan).copied();
    if plan.is_none() {
        let problem = Problem::UnknownPlan { team: export.team.clone(), plan: export.plan.clone() };
        faults.add(format!("{path}/plan"), problem);
    }
    plan
}

/// The extents of an export one after the other; they have to fill it.
fn check_extents(
    export: &records::Export,
    path: &str,
    shards: Option<&BTreeSet<u16>>,
    faults: &mut Faults,
) -> Vec<Extent> {
    let mut extents = Vec::new();
    let mut export_offset = 0u64;
    for (index, extent) in export.extents.iter().enumerate() {
        let records::Extent { length, shard, at: endpoint_offset } = *extent;
        if shards.is_some_and(|shards| !shards.contains(&shard)) {
            faults.add(format!("{path}/extents/{index}/shard"), Problem::UnknownShard(shard));
        }
        if endpoint_offset.checked_add(length).is_none() {
            faults.add(format!("{path}/extents/{index}"), Problem::ExtentTooLong);
        }
        extents.push(Extent { export_offset, length, shard, endpoint_offset });
        export_offset = export_offset.saturating_add(length);
    }
    if export_offset != export.size {
        let problem = Problem::WrongSize { size: export.size, extents: export_offset };
        faults.add(format!("{path}/size"), problem);
    }
    extents
}
