//! Parses the platform's configuration file, which sets up the HTTP front: the listening and discovery
//! addresses, resource limits, the scheduler's settings and the cached endpoint list.

use crate::endpoint_list::{self, EndpointList, EntryError, ParsedList};
use crate::interface::{EndpointListKind, Settings};
use crate::json::{self, JsonError, JsonField};
use crate::settings::{self, SettingsError};
use std::net::SocketAddr;
use thiserror::Error;

/// The platform's configuration file, with the overrides of the environment applied.
#[derive(Clone, Debug)]
pub struct Config {
    /// The initiator's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The management address; `None`: no management calls are served.
    pub management: Option<SocketAddr>,
    /// The seed of the random number generator, different at each start.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The most memory that the process may hold, in MiB; 0: not stated.
    pub max_memory_mib: u64,
    /// The most ids of recent requests that are held; 0: not limited.
    pub max_request_ids: usize,
    /// The last endpoint list known when the file was written, of any age.
    pub cached_endpoints: EndpointList,
    /// Why entries of that list were skipped, one error text for each.
    pub skipped_entries: Vec<String>,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The text of the file, unchanged.
    pub text: Vec<u8>,
}

const REQUIRED_KEYS: [&str; 4] = ["seed", "limits", "known", "settings"];
/// The fewest file descriptors that the program works with.
const MIN_DESCRIPTORS: usize = 64;
/// The number of file descriptors where the file states none.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The fraction of the file descriptors that client connections with requests may take. Each open request
/// occupies one client connection.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 1.0 / 3.0;
/// The fraction of those connections that may have an open request, so that a new client still finds a free
/// connection.
const OPEN_REQUEST_FRACTION: f64 = 0.8;

/// The states of volumes may take one of this many parts of the memory.
const VOLUME_MEMORY_DIVISOR: u64 = 8;
/// What the state of a volume takes, in bytes.
const BYTES_PER_VOLUME: u64 = 1200;
/// The ids of recent requests may take one of this many parts of the memory.
const REQUEST_ID_MEMORY_DIVISOR: u64 = 16;
/// What the id of a request takes, in bytes.
const BYTES_PER_REQUEST_ID: u64 = 128;

/// Returns how many states of `bytes` bytes fit into one of `divisor` parts of the memory; 0: memory is not
/// limited.
fn state_limit(max_memory_mib: u64, divisor: u64, bytes: u64) -> usize {
    ((max_memory_mib << 20) / divisor / bytes) as usize
}

/// Returns the memory that the states of volumes and the ids of requests may take, in bytes.
pub fn state_memory(max_memory_mib: u64) -> u64 {
    let total = max_memory_mib << 20;
    total / VOLUME_MEMORY_DIVISOR + total / REQUEST_ID_MEMORY_DIVISOR
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not a JSON object, or a value has the wrong type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The `settings` are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A required key is missing.
    #[error("missing required key '{0}'")]
    MissingKey(&'static str),
    /// An address can't be parsed.
    #[error("{key}: '{text}' is not an IP address with a port")]
    BadAddress {
        /// The key of the address.
        key: &'static str,
        /// The value, from the file or from the environment variable.
        text: String,
    },
    /// The settings lack the number of initiators.
    #[error("settings.balancers: the number of initiators is missing")]
    MissingInitiators,
    /// The settings lack the rank of this initiator among several.
    #[error("settings.rank: the rank of this initiator among {initiators} is missing")]
    MissingRank {
        /// The number of initiators.
        initiators: u32,
    },
    /// The settings lack request classes or plans.
    #[error("settings: 'lanes' and 'plans' need at least one entry each")]
    NoClassesOrPlans,
    /// A request class has no name or no deadline.
    #[error("settings.lanes: class '{class}' needs a name and a deadline above 0")]
    BadClass {
        /// The name of the class.
        class: String,
    },
    /// The maximum number of attempts is 0.
    #[error("settings.limits.try-limit: the maximum number of attempts must be above 0")]
    NoAttempts,
    /// The process may hold too few file descriptors.
    #[error(
        "limits.sockets: {max_descriptors} file descriptors are too few, at least {min} are required",
        min = MIN_DESCRIPTORS
    )]
    TooFewDescriptors {
        /// The stated number.
        max_descriptors: usize,
    },
    /// The seed can't be parsed.
    #[error("seed: '{0}' is not a hexadecimal number of at most 16 digits")]
    BadSeed(String),
}

/// Parses the text of the file, whose bytes are overwritten. An environment variable that is set takes
/// precedence over the value in the file.
///
/// # Errors
/// The first error found: a missing key, a value of the wrong type or out of range, or an address that can't
/// be parsed.
pub fn read(text: &mut [u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let source = text.to_vec();
    let value = json::parse(text)?;
    let top = JsonField::object(&value, "the configuration")?;
    if let Some(key) = REQUIRED_KEYS.into_iter().find(|key| !top.field(key).is_present()) {
        return Err(ConfigError::MissingKey(key));
    }
    let mut settings = read_settings(top.field("settings"))?;
    let ParsedList { list: mut cached_endpoints, errors: entry_errors } =
        endpoint_list::read_list(top.field("known"))?;
    cached_endpoints.kind = EndpointListKind::Cached;
    let max_descriptors = read_max_descriptors(top.field("limits"))?;
    let max_memory_mib = top.field("limits").field("memory_mb").integer()?;
    settings.max_volumes = state_limit(max_memory_mib, VOLUME_MEMORY_DIVISOR, BYTES_PER_VOLUME);
    if settings.max_open_requests == 0 {
        let client_connections = max_descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION;
        settings.max_open_requests = (client_connections * OPEN_REQUEST_FRACTION) as usize;
    }
    let seed = top.field("seed").text()?;
    Ok(Config {
        name: read_text(top, "name", env("ROUTER_NAME"))?,
        listen: read_address(top, "listen", env("ROUTER_LISTEN"))?,
        discovery: read_address(top, "discovery", env("ROUTER_DISCOVERY"))?,
        management: match env("ROUTER_MANAGEMENT") {
            None if !top.field("management").is_present() => None,
            from_env => Some(read_address(top, "management", from_env)?),
        },
        seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::BadSeed(seed.to_owned()))?,
        max_memory_mib,
        max_request_ids: state_limit(max_memory_mib, REQUEST_ID_MEMORY_DIVISOR, BYTES_PER_REQUEST_ID),
        max_descriptors,
        cached_endpoints,
        skipped_entries: entry_errors.iter().map(EntryError::to_string).collect(),
        settings,
        text: source,
    })
}

/// Reads the settings and checks what the program needs beyond their types.
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

fn read_max_descriptors(limits: JsonField) -> Result<usize, ConfigError> {
    match limits.field("sockets").integer()? as usize {
        0 => Ok(DEFAULT_DESCRIPTORS),
        max_descriptors if max_descriptors < MIN_DESCRIPTORS => {
            Err(ConfigError::TooFewDescriptors { max_descriptors })
        }
        max_descriptors => Ok(max_descriptors),
    }
}

/// Returns the value from the environment if there is one, or else the value in the file.
fn read_text(top: JsonField, key: &'static str, from_env: Option<String>) -> Result<String, JsonError> {
    from_env.map_or_else(|| top.field(key).text().map(String::from), Ok)
}

fn read_address(
    top: JsonField,
    key: &'static str,
    from_env: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let text = read_text(top, key, from_env)?;
    text.parse().map_err(|_| ConfigError::BadAddress { key, text })
}

/// Returns the path of the first key that the configuration in force has and a newer one lacks. Keys of
/// endpoint list entries (`known.members`) are not compared: the endpoint list changes from day to day, and
/// its entries are checked when they are read.
pub fn first_missing_key(in_force: &[u8], newer: &[u8]) -> Option<String> {
    let (mut in_force, mut newer) = (in_force.to_vec(), newer.to_vec());
    let (in_force, newer) = (json::parse(&mut in_force).ok()?, json::parse(&mut newer).ok()?);
    let in_force = JsonField::object(&in_force, "the configuration").ok()?;
    let newer = JsonField::object(&newer, "the configuration").ok()?;
    in_force.missing_in(newer).filter(|path| !path.starts_with("known.members."))
}
