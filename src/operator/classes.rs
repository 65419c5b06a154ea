//! Finds the request classes of NBD's commands. They are found by what the settings say of a class, not by its name: NBD
//! knows reads, large ones, and writes.

use super::fault::{Faults, Problem};
use super::Classes;
use crate::interface::{Idempotency, RequestClass};

/// The classes of reads, large reads and writes; `None`: there is a fault. `changes_data` says for each class whether it
/// writes; where it is empty those write that are not idempotent.
pub(super) fn find_classes(
    classes: &[RequestClass],
    changes_data: &[bool],
    faults: &mut Faults,
) -> Option<Classes> {
    if !changes_data.is_empty() && changes_data.len() != classes.len() {
        let problem = Problem::WrongClassCount { entries: changes_data.len(), classes: classes.len() };
        faults.add("/settings/domain/changes-data", problem);
        return None;
    }
    let writes = |index: &usize| {
        let stated = changes_data.get(*index).copied();
        stated.unwrap_or(classes[*index].idempotency != Idempotency::Idempotent)
    };
    let (writers, readers): (Vec<usize>, Vec<usize>) = (0..classes.len()).partition(writes);
    let write = find_write_class(classes, &writers, faults)?;
    let objective = |index: &&usize| classes[**index].latency_objective;
    let shortest = readers.iter().min_by_key(objective);
    let longest = readers.iter().max_by_key(objective);
    let (Some(read), Some(large_read)) = (shortest, longest) else {
        faults.add("/settings/lanes", Problem::NoReadClass);
        return None;
    };
    Some(Classes { read: *read as u16, large_read: *large_read as u16, write: write as u16 })
}

fn find_write_class(classes: &[RequestClass], writers: &[usize], faults: &mut Faults) -> Option<usize> {
    let [write] = writers[..] else {
        faults.add(
            "/settings/lanes",
            match writers {
                [] => Problem::NoWriteClass,
                _ => Problem::ManyWriteClasses { names: quoted_names(classes, writers) },
            },
        );
        return None;
    };
    if classes[write].idempotency == Idempotency::Keyed {
        faults.add(format!("/settings/lanes/{write}/idempotency"), Problem::KeyedWrites);
    }
    Some(write)
}

fn quoted_names(classes: &[RequestClass], indices: &[usize]) -> String {
    let names: Vec<String> = indices.iter().map(|index| format!("'{}'", classes[*index].name)).collect();
    names.join(", ")
}
