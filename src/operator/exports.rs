//! Checks the contracts of teams, which become the plans of the settings, and the exports that refer to those
//! plans.

use super::records::{self, Contract, Team};
use super::validation_error::{ValidationErrorKind, ValidationErrors};
use super::{Export, Extent};
use crate::interface::{Plan, Settings};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// The fraction of a limit's burst by which sending may exceed the burst for a moment. The excess may always
/// be as large as the largest request.
const BURST_TOLERANCE: f64 = 0.1;

/// The numbers of the plans, by team name and plan name.
pub(super) type PlanNumbers = BTreeMap<String, BTreeMap<String, u16>>;

/// Adds each contract to the settings as a plan, and returns the numbers of the plans.
pub(super) fn check_contracts(
    teams: &[Team],
    settings: &mut Settings,
    errors: &mut ValidationErrors,
) -> PlanNumbers {
    let mut plan_numbers = PlanNumbers::new();
    for (team_index, team) in teams.iter().enumerate() {
        let path = format!("/teams/{team_index}");
        let plans = check_team_contracts(team, &path, settings, errors);
        // The first team of that name stays: an export of a team with a duplicate name is not an error of its
        // own.
        match plan_numbers.entry(team.name.clone()) {
            Entry::Vacant(entry) => drop(entry.insert(plans)),
            Entry::Occupied(_) => {
                errors.add(format!("{path}/name"), ValidationErrorKind::Duplicate(team.name.clone()));
            }
        }
    }
    plan_numbers
}

fn check_team_contracts(
    team: &Team,
    team_path: &str,
    settings: &mut Settings,
    errors: &mut ValidationErrors,
) -> BTreeMap<String, u16> {
    let mut plans = BTreeMap::new();
    for (index, contract) in team.contracts.iter().enumerate() {
        let path = format!("{team_path}/contracts/{index}");
        let Contract { plan, reserve, limit, burst, .. } = contract;
        if *limit > 0.0 && *burst <= 0.0 {
            errors.add(format!("{path}/burst"), ValidationErrorKind::LimitWithoutBurst);
        }
        if *limit > 0.0 && reserve > limit {
            let error = ValidationErrorKind::ReserveBeyondLimit { reserve: *reserve, limit: *limit };
            errors.add(format!("{path}/reserve"), error);
        }
        let number = settings.plans.len() as u16;
        settings.plans.push(plan_from_contract(contract, &team.name, settings.max_request_units));
        if plans.insert(plan.clone(), number).is_some() {
            errors.add(format!("{path}/plan"), ValidationErrorKind::Duplicate(plan.clone()));
        }
    }
    plans
}

fn plan_from_contract(contract: &Contract, team: &str, max_request_units: f64) -> Plan {
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

/// Checks all exports and returns those whose team, plan and volume are valid. `shards` are the shards that
/// endpoints hold; `None`: unknown.
pub(super) fn check_exports(
    exports: Vec<records::Export>,
    plan_numbers: &PlanNumbers,
    shards: Option<&BTreeSet<u16>>,
    errors: &mut ValidationErrors,
) -> Vec<Export> {
    let mut names = BTreeSet::new();
    let mut checked = Vec::new();
    for (index, export) in exports.into_iter().enumerate() {
        let path = format!("/exports/{index}");
        if !names.insert(export.name.clone()) {
            errors.add(format!("{path}/name"), ValidationErrorKind::Duplicate(export.name.clone()));
        }
        checked.extend(check_export(export, &path, plan_numbers, shards, errors));
    }
    checked
}

fn check_export(
    export: records::Export,
    path: &str,
    plan_numbers: &PlanNumbers,
    shards: Option<&BTreeSet<u16>>,
    errors: &mut ValidationErrors,
) -> Option<Export> {
    let extents = check_extents(&export, path, shards, errors);
    let plan = find_plan(&export, path, plan_numbers, errors);
    let volume = u64::from_str_radix(&export.volume, 16)
        .map_err(|error| errors.add(format!("{path}/volume"), ValidationErrorKind::BadVolume(error)));
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
    plan_numbers: &PlanNumbers,
    errors: &mut ValidationErrors,
) -> Option<u16> {
    let Some(plans) = plan_numbers.get(&export.team) else {
        errors.add(format!("{path}/team"), ValidationErrorKind::UnknownTeam(export.team.clone()));
        return None;
    };
    let plan = plans.get(&export.plan).copied();
    if plan.is_none() {
        let error = ValidationErrorKind::UnknownPlan { team: export.team.clone(), plan: export.plan.clone() };
        errors.add(format!("{path}/plan"), error);
    }
    plan
}

/// Returns the extents of an export with their offsets. Together they must have the size of the export.
fn check_extents(
    export: &records::Export,
    path: &str,
    shards: Option<&BTreeSet<u16>>,
    errors: &mut ValidationErrors,
) -> Vec<Extent> {
    let mut extents = Vec::new();
    let mut export_offset = 0u64;
    for (index, extent) in export.extents.iter().enumerate() {
        let records::Extent { length, shard, at: endpoint_offset } = *extent;
        if shards.is_some_and(|shards| !shards.contains(&shard)) {
            errors.add(format!("{path}/extents/{index}/shard"), ValidationErrorKind::UnknownShard(shard));
        }
        if endpoint_offset.checked_add(length).is_none() {
            errors.add(format!("{path}/extents/{index}"), ValidationErrorKind::ExtentTooLong);
        }
        extents.push(Extent { export_offset, length, shard, endpoint_offset });
        export_offset = export_offset.saturating_add(length);
    }
    if export_offset != export.size {
        let error = ValidationErrorKind::WrongSize { size: export.size, extents: export_offset };
        errors.add(format!("{path}/size"), error);
    }
    extents
}
