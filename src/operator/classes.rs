//! Finds the request classes of NBD commands: reads, large reads and writes. Classes are found by their
//! properties in the settings and not by their names, which each deployment chooses.

use super::validation_error::{ValidationErrorKind, ValidationErrors};
use super::Classes;
use crate::interface::{Idempotency, RequestClass};

/// Returns the classes of reads, large reads and writes, or `None` after an error. `changes_data` states for
/// each class whether it writes; if it is empty, the classes that are not idempotent write.
///
/// Of the classes that read, the one with the shortest latency objective is for reads and the one with the
/// longest for large reads. A single class that reads is for both.
pub(super) fn find_classes(
    classes: &[RequestClass],
    changes_data: &[bool],
    errors: &mut ValidationErrors,
) -> Option<Classes> {
    if !changes_data.is_empty() && changes_data.len() != classes.len() {
        let error =
            ValidationErrorKind::WrongClassCount { entries: changes_data.len(), classes: classes.len() };
        errors.add("/settings/domain/changes-data", error);
        return None;
    }
    let writes_data = |index: &usize| {
        let stated = changes_data.get(*index).copied();
        stated.unwrap_or(classes[*index].idempotency != Idempotency::Idempotent)
    };
    let (write_classes, read_classes): (Vec<usize>, Vec<usize>) = (0..classes.len()).partition(writes_data);
    let write = find_write_class(classes, &write_classes, errors)?;
    let latency_objective = |index: &&usize| classes[**index].latency_objective;
    let shortest = read_classes.iter().min_by_key(latency_objective);
    let longest = read_classes.iter().max_by_key(latency_objective);
    let (Some(read), Some(large_read)) = (shortest, longest) else {
        errors.add("/settings/lanes", ValidationErrorKind::NoReadClass);
        return None;
    };
    Some(Classes { read: *read as u16, large_read: *large_read as u16, write: write as u16 })
}

/// Returns the only class that writes, or `None` after an error.
fn find_write_class(
    classes: &[RequestClass],
    write_classes: &[usize],
    errors: &mut ValidationErrors,
) -> Option<usize> {
    let [write] = write_classes[..] else {
        errors.add(
            "/settings/lanes",
            match write_classes {
                [] => ValidationErrorKind::NoWriteClass,
                _ => ValidationErrorKind::ManyWriteClasses { names: quoted_names(classes, write_classes) },
            },
        );
        return None;
    };
    if classes[write].idempotency == Idempotency::Keyed {
        errors.add(format!("/settings/lanes/{write}/idempotency"), ValidationErrorKind::KeyedWrites);
    }
    Some(write)
}

fn quoted_names(classes: &[RequestClass], indices: &[usize]) -> String {
    let names: Vec<String> = indices.iter().map(|index| format!("'{}'", classes[*index].name)).collect();
    names.join(", ")
}
