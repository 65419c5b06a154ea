//! The arguments of `shaletack-lab scale`, checked.

use super::fleet::{Arm, Size};
use lexopt::Arg::Long;
use std::path::PathBuf;

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

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Options {
    pub size: Size,
    /// Seeds 1 to this are played.
    pub seeds: u64,
    /// Numbers of initiators for which costs are measured, beside that of `size`.
    pub sizes: Vec<usize>,
    pub plans: Vec<String>,
    /// Each with its name in tables.
    pub arms: Vec<(Arm, &'static str)>,
    /// The folder of tables and charts.
    pub out: PathBuf,
    /// Fail where busy bytes or processor time of the largest fleet are more than so many times the
    /// smallest's.
    pub bend: Option<f64>,
    /// Play this seed alone and print its rows.
    pub worker: Option<u64>,
}

const ARMS: [(Arm, &str); 2] = [(Arm::After, "after"), (Arm::Before, "before")];
const PLANS: [&str; 5] = ["idle", "busy", "spread", "sums", "faults"];

impl Options {
    fn new() -> Self {
        Options {
            size: Size { initiators: 570, boxes: 880, volumes: 1000, regions: 3, zones: 9 },
            seeds: 5,
            sizes: vec![30, 100, 300, 570, 1000],
            plans: PLANS.map(str::to_owned).to_vec(),
            arms: ARMS.to_vec(),
            out: ".".into(),
            bend: None,
            worker: None,
        }
    }

    /// Reads the arguments; `None`: help was asked for and is printed.
    pub fn parse(mut args: lexopt::Parser) -> Result<Option<Self>, String> {
        let told = |e: lexopt::Error| format!("scale: {e}");
        let mut options = Options::new();
        while let Some(arg) = args.next().map_err(told)? {
            let Long(name) = arg else { return Err(told(arg.unexpected())) };
            let name = name.to_owned();
            if name == "help" {
                println!("{USAGE}");
                return Ok(None);
            }
            let value = args.value().map_err(told)?;
            if name == "out" {
                options.out = value.into();
            } else {
                options.set(&name, &value.to_string_lossy())?;
            }
        }
        options.check().map(|()| Some(options))
    }

    fn set(&mut self, name: &str, text: &str) -> Result<(), String> {
        let named = |why: String| format!("scale: --{name}: {why}");
        let number = || text.parse::<usize>().map_err(|_| named(format!("'{text}' is not a number")));
        match name {
            "initiators" => self.size.initiators = number()?,
            "boxes" => self.size.boxes = number()?,
            "volumes" => self.size.volumes = number()?,
            "regions" => self.size.regions = number()?,
            "zones" => self.size.zones = number()?,
            "seeds" => self.seeds = number()? as u64,
            "worker" => self.worker = Some(number()? as u64),
            "bend" => {
                let read = text.parse().ok().filter(|bend: &f64| bend.is_finite() && *bend > 0.0);
                self.bend = Some(read.ok_or(named(format!("'{text}' is no factor")))?);
            }
            "plans" => self.plans = words(text, PLANS.iter().map(|p| (p.to_string(), *p))).map_err(named)?,
            "arms" => self.arms = words(text, ARMS.iter().map(|a| (*a, a.1))).map_err(named)?,
            "sizes" => {
                let sizes = text.split(',').filter(|word| *word != "none");
                let read = |word: &str| word.parse().map_err(|_| named(format!("'{word}' is not a number")));
                self.sizes = sizes.map(read).collect::<Result<_, _>>()?;
            }
            _ => return Err(format!("scale: --{name} is not known")),
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: usize, least: usize, most: usize| {
            let fits = (least..=most).contains(&value);
            fits.then_some(()).ok_or(format!("scale: --{name} {value}: it goes from {least} to {most}"))
        };
        let Size { initiators, boxes, volumes, regions, zones } = self.size;
        within("initiators", initiators, 2, 5000)?;
        self.sizes.iter().try_for_each(|size| within("sizes", *size, 2, 5000))?;
        within("boxes", boxes, 1, 4096)?;
        within("volumes", volumes, 1, 1_000_000)?;
        within("zones", zones, 1, initiators)?;
        within("regions", regions, 1, zones)?;
        within("seeds", self.seeds as usize, 1, 1000)
    }
}

/// Words of a list, each one of those that there are.
fn words<T: Clone>(
    text: &str,
    all: impl Iterator<Item = (T, &'static str)> + Clone,
) -> Result<Vec<T>, String> {
    let find = |word: &str| all.clone().find(|(_, name)| *name == word).map(|(is, _)| is);
    text.split(',').map(|word| find(word).ok_or(format!("'{word}' is none of what there is"))).collect()
}
