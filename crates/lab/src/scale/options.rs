//! Parses and checks the arguments of `shaletack-lab scale`.

use super::fleet::{Arm, Size};
use lexopt::Arg::Long;
use std::path::PathBuf;

/// The help text.
pub const USAGE: &str =
    "usage: shaletack-lab scale [--initiators N] [--boxes M] [--volumes V] [--regions R] \
[--zones Z] [--seeds K] [--sizes N,N,...] [--plans idle,busy,spread,sums,faults] \
[--arms after,before] [--bend FACTOR] [--out DIR]
  scale         hollow initiators in virtual time: what control costs, how soon a drain is known by all
  --initiators  how many, from 2 to 5000 (570)
  --boxes       disk boxes in each list, from 1 to 4096 (880)
  --volumes     volumes of the installation, of which each busy initiator uses 100 (1000)
  --regions     from 1 (3), --zones  over all regions, at least one in each (9)
  --seeds       so many seeds, from 1 (5); each in a process of its own, half of the processors at a time
  --plans, --arms  only these of them
  --bend        fail where busy bytes or processor time of the largest fleet are more times the smallest's
  --sizes       the fleets whose slopes are taken (30,100,300,570,1000); none: only --initiators
  --out         where tables and charts go (.)";

/// The parsed arguments.
#[derive(Clone, Debug)]
pub struct Options {
    /// Size of the fleet.
    pub size: Size,
    /// The experiment runs the seeds from 1 up to this one.
    pub seeds: u64,
    /// Further numbers of initiators, beside that of `size`, for which costs are measured.
    pub sizes: Vec<usize>,
    /// Names of the plans to run.
    pub plans: Vec<String>,
    /// The arms to run, each with its name in the tables.
    pub arms: Vec<(Arm, &'static str)>,
    /// Directory for tables and charts.
    pub out: PathBuf,
    /// If set, the experiment fails when the bytes, the datagrams or the processor time of a busy initiator
    /// grow from the smallest to the largest fleet by more than this factor (processor time by more than
    /// twice the factor).
    pub max_growth: Option<f64>,
    /// If set, this process is a worker: it runs only this seed and prints its rows.
    pub worker_seed: Option<u64>,
}

/// All arms by name.
const ARMS: [(Arm, &str); 2] = [(Arm::After, "after"), (Arm::Before, "before")];
/// All plans by name.
const PLANS: [&str; 5] = ["idle", "busy", "spread", "sums", "faults"];

impl Options {
    /// Returns the default values.
    fn new() -> Self {
        Options {
            size: Size { initiators: 570, endpoints: 880, volumes: 1000, regions: 3, zones: 9 },
            seeds: 5,
            sizes: vec![30, 100, 300, 570, 1000],
            plans: PLANS.map(str::to_owned).to_vec(),
            arms: ARMS.to_vec(),
            out: ".".into(),
            max_growth: None,
            worker_seed: None,
        }
    }

    /// Parses the arguments. Returns `None` after printing the help text, if that was requested.
    pub fn parse(mut args: lexopt::Parser) -> Result<Option<Self>, String> {
        let parse_error = |e: lexopt::Error| format!("scale: {e}");
        let mut options = Options::new();
        while let Some(arg) = args.next().map_err(parse_error)? {
            let Long(name) = arg else { return Err(parse_error(arg.unexpected())) };
            let name = name.to_owned();
            if name == "help" {
                println!("{USAGE}");
                return Ok(None);
            }
            let value = args.value().map_err(parse_error)?;
            if name == "out" {
                options.out = value.into();
            } else {
                options.set(&name, &value.to_string_lossy())?;
            }
        }
        options.check().map(|()| Some(options))
    }

    /// Sets one option from its text.
    fn set(&mut self, name: &str, text: &str) -> Result<(), String> {
        let option_error = |why: String| format!("scale: --{name}: {why}");
        let number = || text.parse::<usize>().map_err(|_| option_error(format!("'{text}' is not a number")));
        match name {
            "initiators" => self.size.initiators = number()?,
            "boxes" => self.size.endpoints = number()?,
            "volumes" => self.size.volumes = number()?,
            "regions" => self.size.regions = number()?,
            "zones" => self.size.zones = number()?,
            "seeds" => self.seeds = number()? as u64,
            "worker" => self.worker_seed = Some(number()? as u64),
            "bend" => {
                let factor = text.parse().ok().filter(|factor: &f64| factor.is_finite() && *factor > 0.0);
                self.max_growth =
                    Some(factor.ok_or(option_error(format!("'{text}' is not a positive number")))?);
            }
            "plans" => {
                self.plans =
                    parse_list(text, PLANS.iter().map(|p| (p.to_string(), *p))).map_err(option_error)?
            }
            "arms" => self.arms = parse_list(text, ARMS.iter().map(|a| (*a, a.1))).map_err(option_error)?,
            "sizes" => {
                let sizes = text.split(',').filter(|word| *word != "none");
                let parse =
                    |word: &str| word.parse().map_err(|_| option_error(format!("'{word}' is not a number")));
                self.sizes = sizes.map(parse).collect::<Result<_, _>>()?;
            }
            _ => return Err(format!("scale: unknown option --{name}")),
        }
        Ok(())
    }

    /// Checks that all values are within their ranges.
    fn check(&self) -> Result<(), String> {
        let check_range = |name: &str, value: usize, least: usize, most: usize| {
            let in_range = (least..=most).contains(&value);
            in_range.then_some(()).ok_or(format!("scale: --{name} {value}: must be from {least} to {most}"))
        };
        let Size { initiators, endpoints, volumes, regions, zones } = self.size;
        check_range("initiators", initiators, 2, 5000)?;
        self.sizes.iter().try_for_each(|size| check_range("sizes", *size, 2, 5000))?;
        check_range("boxes", endpoints, 1, 4096)?;
        check_range("volumes", volumes, 1, 1_000_000)?;
        check_range("zones", zones, 1, initiators)?;
        check_range("regions", regions, 1, zones)?;
        check_range("seeds", self.seeds as usize, 1, 1000)
    }
}

/// Parses a comma-separated list of names, each of which must be in `all`.
fn parse_list<T: Clone>(
    text: &str,
    all: impl Iterator<Item = (T, &'static str)> + Clone,
) -> Result<Vec<T>, String> {
    let find = |word: &str| all.clone().find(|(_, name)| *name == word).map(|(value, _)| value);
    text.split(',').map(|word| find(word).ok_or(format!("'{word}' is not a known name"))).collect()
}
