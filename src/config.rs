//! What an initiator is told at its start.

use crate::endpoint_list::{self, EndpointList, EntryError, ReadList};
use crate::interface::{EndpointListKind, Settings};
use crate::json::{self, JsonField};
use crate::settings;
use std::net::SocketAddr;

/// The platform's file, with what the environment says.
#[derive(Clone, Debug)]
pub struct Config {
    /// The initiator's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the discovery agent answers.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// How many file descriptors the process may hold.
    pub sockets: usize,
    /// How much memory the process may hold, in MiB; 0: not stated.
    pub memory_mb: u64,
    /// The list of disk boxes as last had, perhaps old.
    pub known: EndpointList,
    /// What is wrong with entries of that list that do not count.
    pub passed_over: Vec<String>,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The file's text, as read.
    pub text: Vec<u8>,
}

const NEEDED: [&str; 4] = ["seed", "limits", "known", "settings"];
const FEWEST_SOCKETS: usize = 64;
/// For requests, clients hold at most this part of the descriptors; each open one has a connection,
const CLIENTS_PART: f64 = 1.0 / 3.0;
/// and so many may be open that those who come find one free.
const OPEN_PART: f64 = 0.8;

/// Reads the file's text; the environment's word, where it has one, goes before the file's.
pub fn read(text: &mut [u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let whole = text.to_vec();
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the configuration")?;
    let address = |name: &str, variable: &str| {
        let text = env(variable).map_or_else(|| top.field(name).text().map(String::from), Ok)?;
        text.parse().map_err(|_| format!("{name}: '{text}' is not an address and port"))
    };
    if let Some(key) = NEEDED.into_iter().find(|key| !top.field(key).is_present()) {
        return Err(format!("there is no key '{key}'"));
    }
    let mut settings = settings::read_settings(top.field("settings"))?;
    if !top.field("settings").field("balancers").is_present() {
        return Err("settings.balancers: the number of initiators is missing".into());
    }
    if settings.initiators > 1 && !top.field("settings").field("rank").is_present() {
        return Err(format!(
            "settings.rank: which of {} initiators this is, is missing",
            settings.initiators
        ));
    }
    if settings.classes.is_empty() || settings.plans.is_empty() {
        return Err("the settings name no classes or no plans".into());
    }
    if let Some(class) = settings.classes.iter().find(|c| c.name.is_empty() || c.deadline.is_zero()) {
        return Err(format!("settings.lanes: '{}' has no name, or no deadline above 0", class.name));
    }
    if settings.max_attempts == 0 {
        return Err("settings.limits.try-limit: it has to be a number above 0".into());
    }
    let ReadList { list: mut known, faults: passed_over } = endpoint_list::read_list(top.field("known"))?;
    known.kind = EndpointListKind::Cached;
    let sockets = top.field("limits").field("sockets").integer()? as usize;
    if sockets > 0 && sockets < FEWEST_SOCKETS {
        return Err(format!("limits.sockets: {sockets} are too few, {FEWEST_SOCKETS} are needed"));
    }
    let sockets = if sockets == 0 { 1024 } else { sockets };
    if settings.max_open_requests == 0 {
        settings.max_open_requests = (sockets as f64 * CLIENTS_PART * OPEN_PART) as usize;
    }
    let seed = top.field("seed").text()?;
    Ok(Config {
        name: env("ROUTER_NAME").map_or_else(|| top.field("name").text().map(String::from), Ok)?,
        listen: address("listen", "ROUTER_LISTEN")?,
        discovery: address("discovery", "ROUTER_DISCOVERY")?,
        management: match env("ROUTER_MANAGEMENT").is_some() || top.field("management").is_present() {
            true => Some(address("management", "ROUTER_MANAGEMENT")?),
            false => None,
        },
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed: '{seed}' is not 16 hex digits"))?,
        memory_mb: top.field("limits").field("memory_mb").integer()?,
        sockets,
        known,
        passed_over: passed_over.iter().map(EntryError::to_string).collect(),
        settings,
        text: whole,
    })
}

/// The first key that a configuration in force has and a newer one lacks. Entries of the list of boxes differ
/// from day to day, and are looked at when they are read.
pub fn lacks(older: &[u8], newer: &[u8]) -> Option<String> {
    let (mut older, mut newer) = (older.to_vec(), newer.to_vec());
    let (older, newer) = (json::parse(&mut older).ok()?, json::parse(&mut newer).ok()?);
    let older = JsonField::object(&older, "the configuration").ok()?;
    let newer = JsonField::object(&newer, "the configuration").ok()?;
    older.missing_in(newer).filter(|path| !path.starts_with("known.members."))
}
