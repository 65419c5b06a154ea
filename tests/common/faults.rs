//! System calls of a real process that fail for a while, by a library that it is started with (`faults.c`).

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The library, built once for each test program: whoever links Rust has a C compiler.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let library = folder.join(format!("libfaults-{}.so", std::process::id()));
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/common/faults.c");
        let mut compiler = Command::new("cc");
        compiler.args(["-O1", "-shared", "-fPIC", "-o"]).arg(&library).args([source, "-ldl"]);
        assert!(compiler.status().unwrap().success(), "faults.c does not compile");
        library
    })
}

/// What fails in one process, and can be changed while it runs.
pub struct Faults(PathBuf);

impl Faults {
    /// A plan of that name: lines of what fails and its chance in a thousand, see `faults.c`.
    pub fn new(name: &str, plan: &str) -> Self {
        let file = format!("faults-{}-{name}", std::process::id());
        let faults = Faults(Path::new(env!("CARGO_TARGET_TMPDIR")).join(file));
        faults.set(plan);
        faults
    }

    /// Another plan from now on (a few milliseconds later).
    pub fn set(&self, plan: &str) {
        let next = self.0.with_extension("next");
        std::fs::write(&next, plan).unwrap();
        std::fs::rename(&next, &self.0).unwrap();
    }

    /// The process that is started by this command is under the plan.
    pub fn on<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command.env("LD_PRELOAD", library()).env("FAULTS", &self.0)
    }
}
