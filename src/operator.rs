//! The operator's file of the second front: teams, their contracts, exports and the boxes that hold them.

use crate::interface::{ListKind, Plan, Settings, VolumeId};
use crate::json::{self, Fault, Look};
use crate::members::{self, Members};
use crate::settings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A part of an export that lies on one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Extent {
    /// Where it starts in the export, in bytes.
    pub from: u64,
    /// How many bytes it holds.
    pub length: u64,
    /// The shard that holds it.
    pub shard: u16,
    /// Where it starts on the shard's box.
    pub at: u64,
}

/// One volume as clients see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Export {
    /// The name that clients ask for.
    pub name: String,
    /// The team that it belongs to.
    pub team: String,
    /// Its volume.
    pub volume: VolumeId,
    /// Its plan, by number.
    pub plan: u16,
    /// Through how many initiators its requests come.
    pub hosts: f64,
    /// Its size in bytes.
    pub size: u64,
    /// Where its data lies, without gaps, in order.
    pub extents: Vec<Extent>,
}

/// Where the list of boxes is kept in etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct Etcd {
    /// Its JSON gateway.
    pub address: SocketAddr,
    /// The keys below which each box has its entry.
    pub prefix: String,
}

/// The classes that reads and writes belong to, by number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classes {
    /// Reads and flushes.
    pub read: u16,
    /// Reads of more than `large_from` bytes.
    pub large_read: u16,
    /// Writes.
    pub write: u16,
}

/// The whole file.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The scheduler's settings; their plans are the contracts of all teams.
    pub settings: Settings,
    /// How many bytes one unit stands for.
    pub unit_bytes: u32,
    /// Reads of more bytes than this are large.
    pub large_from: u32,
    /// The name of the export that the boxes give.
    pub box_export: String,
    /// The exports.
    pub exports: Vec<Export>,
    /// The boxes, as they are at the start.
    pub boxes: Members,
    /// Where the boxes' list is followed, if anywhere.
    pub etcd: Option<Etcd>,
    /// Which classes commands belong to.
    pub classes: Classes,
    /// How many file descriptors the process may hold.
    pub sockets: usize,
}

/// Reads and checks the file's text.
pub fn read(text: &mut [u8]) -> Result<Operator, Fault> {
    let value = json::parse(text)?;
    let top = Look::object(&value, "the operator's file")?;
    let address = |at: Look, name: &str| {
        let text = at.text()?;
        let address: SocketAddr =
            text.parse().map_err(|_| format!("{name}: '{text}' is not an address and port"))?;
        if address.ip().is_loopback() {
            Ok(address)
        } else {
            Err(format!("{name}: {address} is not a loopback address"))
        }
    };
    let mut settings = settings::from(top.at("settings"))?;
    let teams = teams(top, &mut settings)?;
    let boxes = top.at("boxes").list()?.into_iter().map(members::member).collect::<Result<_, _>>()?;
    let boxes = Members { revision: 0, kind: ListKind::Cached, entries: boxes };
    let etcd = top.at("etcd");
    let etcd = match etcd.is_there() {
        true => Some(Etcd {
            address: address(etcd.at("address"), "etcd.address")?,
            prefix: etcd.at("prefix").text()?.into(),
        }),
        false => None,
    };
    let class = |name: &str| {
        let at = settings.classes.iter().position(|c| c.name == name);
        at.map(|at| at as u16).ok_or(format!("settings.lanes: there is no class '{name}'"))
    };
    let classes =
        Classes { read: class("leitura")?, large_read: class("exportacao")?, write: class("gravacao")? };
    let shards: BTreeSet<u16> = boxes.entries.iter().map(|b| b.shard).collect();
    let known = |shard: u16| etcd.is_some() || shards.contains(&shard);
    let list = top.at("exports").list()?;
    let exports: Vec<Export> =
        list.into_iter().map(|e| export(e, &teams, &known)).collect::<Result<_, _>>()?;
    let whole = |name: &str, least: u64, most: u64| match top.at(name).whole()? {
        n if (least..=most).contains(&n) => Ok(n as u32),
        n => Err(format!("{name}: {n} is not between {least} and {most}")),
    };
    let mut names = BTreeSet::new();
    if let Some(twice) = exports.iter().find(|e| !names.insert(e.name.clone())) {
        return Err(format!("export {}: the name stands twice", twice.name));
    }
    if exports.is_empty() {
        return Err("exports: there are none".into());
    }
    Ok(Operator {
        listen: address(top.at("listen"), "listen")?,
        unit_bytes: whole("unit_bytes", 512, 1 << 20)?,
        large_from: whole("large_from", 1, 1 << 25)?,
        box_export: top.at("box_export").text()?.into(),
        sockets: match top.at("sockets").whole()? {
            0 => 1024,
            n => n as usize,
        },
        exports,
        boxes,
        etcd,
        classes,
        settings,
    })
}

/// The plans each team has contracted, by name; they become the settings' plans.
fn teams(top: Look, settings: &mut Settings) -> Result<BTreeMap<String, BTreeMap<String, u16>>, Fault> {
    let mut teams = BTreeMap::new();
    settings.plans.clear();
    for team in top.at("teams").list()? {
        let name = team.at("name").text()?;
        let mut contracts = BTreeMap::new();
        for contract in team.at("contracts").list()? {
            let plan = contract.at("plan").text()?;
            let figure = |key: &str| match contract.at(key).real()? {
                n if n >= 0.0 => Ok(n),
                n => Err(format!("team {name}, plan {plan}: {key} is {n}")),
            };
            let (reserve, limit) = (figure("reserve")?, figure("limit")?);
            let (weight, burst) = (contract.at("weight").number()?.unwrap_or(1.0), figure("burst")?);
            if plan.is_empty() || weight <= 0.0 || limit > 0.0 && (burst <= 0.0 || reserve > limit) {
                return Err(format!("team {name}, plan '{plan}': a plan needs a name, a weight above 0 and, with a limit, a burst and a reserve within the limit"));
            }
            let rate = if limit > 0.0 { limit } else { reserve };
            let number = settings.plans.len() as u16;
            let tolerance = if limit > 0.0 { (burst * 0.1).max(settings.units_top) } else { 0.0 };
            let plan_name = plan.to_owned();
            settings.plans.push(Plan {
                name: format!("{name}/{plan}"),
                rate,
                reserve,
                limit,
                burst,
                tolerance,
                weight,
                price: 1.0,
                retired: false,
            });
            if contracts.insert(plan_name, number).is_some() {
                return Err(format!("team {name}: plan {plan} stands twice"));
            }
        }
        if name.is_empty() || teams.insert(name.to_owned(), contracts).is_some() {
            return Err(format!("team '{name}': the name is empty or stands twice"));
        }
    }
    Ok(teams)
}

fn export(
    look: Look,
    teams: &BTreeMap<String, BTreeMap<String, u16>>,
    known: &impl Fn(u16) -> bool,
) -> Result<Export, Fault> {
    let (name, team, plan) = (look.at("name").text()?, look.at("team").text()?, look.at("plan").text()?);
    let bad = |what: String| format!("export {name}: {what}");
    let contracts = teams.get(team).ok_or_else(|| bad(format!("there is no team '{team}'")))?;
    let plan = *contracts.get(plan).ok_or_else(|| bad(format!("{team} has no contract '{plan}'")))?;
    let volume = look.at("volume").text()?;
    let volume = u64::from_str_radix(volume, 16).map_err(|_| bad(format!("'{volume}' is no volume")))?;
    let size = look.at("size").whole()?;
    let (mut extents, mut from) = (Vec::new(), 0u64);
    for extent in look.at("extents").list()? {
        let (length, shard) = (extent.at("length").whole()?, extent.at("shard").whole()? as u16);
        if !known(shard) {
            return Err(bad(format!("no box holds shard {shard}")));
        }
        extents.push(Extent { from, length, shard, at: extent.at("at").whole()? });
        from = from
            .checked_add(length)
            .filter(|_| length > 0)
            .ok_or_else(|| bad("an extent is empty".into()))?;
    }
    if size == 0 || from != size {
        return Err(bad(format!("its extents hold {from} bytes, its size is {size}")));
    }
    let hosts = look.at("hosts").number()?.unwrap_or(1.0).max(1.0);
    Ok(Export { name: name.into(), team: team.into(), volume, plan, hosts, size, extents })
}
