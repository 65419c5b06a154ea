//! The platform's configuration file: where this initiator listens, where discovery answers, its settings and the endpoint
//! list it last had.

use crate::endpoint_list::{self, EndpointList, EntryError, ParsedList};
use crate::interface::{EndpointListKind, Settings};
use crate::json::{self, JsonError, JsonField};
use crate::settings::{self, SettingsError};
use std::net::SocketAddr;
use thiserror::Error;

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
    /// The endpoint list as last had, of any age.
    pub known: EndpointList,
    /// What is wrong with entries of that list that do not count.
    pub passed_over: Vec<String>,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The file's text, as read.
    pub text: Vec<u8>,
}

const REQUIRED_KEYS: [&str; 4] = ["seed", "limits", "known", "settings"];
/// The fewest file descriptors that the program works with, and how many it takes where none are stated.
const MIN_SOCKETS: usize = 64;
const DEFAULT_SOCKETS: usize = 1024;
/// For requests, clients hold at most this part of the descriptors; each open one has a connection,
const CLIENTS_PART: f64 = 1.0 / 3.0;
/// and so many may be open that those who come find one free.
const OPEN_PART: f64 = 0.8;

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is no JSON object, or a value has another type than it should.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The settings can't be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A key is missing.
    #[error("there is no key '{0}'")]
    MissingKey(&'static str),
    /// An address can't be parsed.
    #[error("{key}: '{text}' is not an address and port")]
    BadAddress {
        /// The key.
        key: &'static str,
        /// Its value, or that of the environment's variable.
        text: String,
    },
    /// The settings do not say how many initiators there are.
    #[error("settings.balancers: the number of initiators is missing")]
    MissingInitiators,
    /// The settings do not say which of the initiators this one is.
    #[error("settings.rank: which of {initiators} initiators this is, is missing")]
    MissingRank {
        /// How many there are.
        initiators: u32,
    },
    /// There is no class or no plan.
    #[error("the settings name no classes or no plans")]
    NoClassesOrPlans,
    /// A class has no name or no deadline.
    #[error("settings.lanes: '{class}' has no name, or no deadline above 0")]
    BadClass {
        /// The name of the class.
        class: String,
    },
    /// The number of attempts is 0.
    #[error("settings.limits.try-limit: it has to be a number above 0")]
    NoAttempts,
    /// Too few file descriptors.
    #[error("limits.sockets: {sockets} are too few, {min} are needed", min = MIN_SOCKETS)]
    TooFewSockets {
        /// How many there are.
        sockets: usize,
    },
    /// The seed can't be parsed.
    #[error("seed: '{0}' is not 16 hex digits")]
    BadSeed(String),
}

/// Reads the file's text; a variable of the environment, where it is set, goes before the file's value.
pub fn read(text: &mut [u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let whole = text.to_vec();
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the configuration")?;
    if let Some(key) = REQUIRED_KEYS.into_iter().find(|key| !top.field(key).is_present()) {
        return Err(ConfigError::MissingKey(key));
    }
    let mut settings = read_settings(top.field("settings"))?;
    let ParsedList { list: mut known, errors: passed_over } = endpoint_list::read_list(top.field("known"))?;
    known.kind = EndpointListKind::Cached;
    let sockets = read_sockets(top.field("limits"))?;
    if settings.max_open_requests == 0 {
        settings.max_open_requests = (sockets as f64 * CLIENTS_PART * OPEN_PART) as usize;
    }
    let seed = top.field("seed").text()?;
    Ok(Config {
        name: text_of(top, "name", env("ROUTER_NAME"))?,
        listen: address(top, "listen", env("ROUTER_LISTEN"))?,
        discovery: address(top, "discovery", env("ROUTER_DISCOVERY"))?,
        management: match env("ROUTER_MANAGEMENT") {
            None if !top.field("management").is_present() => None,
            stated => Some(address(top, "management", stated)?),
        },
        seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::BadSeed(seed.to_owned()))?,
        memory_mb: top.field("limits").field("memory_mb").integer()?,
        sockets,
        known,
        passed_over: passed_over.iter().map(EntryError::to_string).collect(),
        settings,
        text: whole,
    })
}

/// The settings, with what the program needs beyond their form.
fn read_settings(object: JsonField) -> Result<Settings, ConfigError> {
    let settings = settings::read_settings(object)?;
    if !object.field("balancers").is_present() {
        return Err(ConfigError::MissingInitiators);
    }
    if settings.initiators > 1 && !object.field("rank").is_present() {
        return Err(ConfigError::MissingRank { initiators: settings.initiators });
    }
    if settings.classes.is_empty() || settings.plans.is_empty() {
        return Err(ConfigError::NoClassesOrPlans);
    }
    let bad = settings.classes.iter().find(|class| class.name.is_empty() || class.deadline.is_zero());
    if let Some(class) = bad {
        return Err(ConfigError::BadClass { class: class.name.clone() });
    }
    if settings.max_attempts == 0 {
        return Err(ConfigError::NoAttempts);
    }
    Ok(settings)
}

fn read_sockets(limits: JsonField) -> Result<usize, ConfigError> {
    match limits.field("sockets").integer()? as usize {
        0 => Ok(DEFAULT_SOCKETS),
        sockets if sockets < MIN_SOCKETS => Err(ConfigError::TooFewSockets { sockets }),
        sockets => Ok(sockets),
    }
}

/// The environment's value, else the file's.
fn text_of(top: JsonField, key: &'static str, from_env: Option<String>) -> Result<String, JsonError> {
    from_env.map_or_else(|| top.field(key).text().map(String::from), Ok)
}

fn address(top: JsonField, key: &'static str, from_env: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text_of(top, key, from_env)?;
    text.parse().map_err(|_| ConfigError::BadAddress { key, text })
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
