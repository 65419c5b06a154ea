//! Messages between initiators about the units of limited volumes, and their bytes. What is asked for and granted is
//! decided in `scheduler/unit_grants.rs`.

/// A message between two initiators about the units of a limited volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UnitsMessage {
    /// An initiator that lacks units asks the volume's home for some.
    Request {
        /// The volume.
        volume: u64,
        /// Its plan, by number.
        plan: u16,
        /// How many units are wanted.
        units: f64,
        /// Tells this question from others.
        number: u32,
    },
    /// The home's answer.
    Grant {
        /// The volume.
        volume: u64,
        /// How many units may be spent.
        units: f64,
        /// The number of the question.
        number: u32,
    },
}

impl UnitsMessage {
    /// As bytes, 17 or 19 of them.
    pub fn bytes(&self) -> Vec<u8> {
        let (volume, units, number, plan) = match *self {
            UnitsMessage::Request { volume, plan, units, number } => (volume, units, number, Some(plan)),
            UnitsMessage::Grant { volume, units, number } => (volume, units, number, None),
        };
        let mut bytes = vec![u8::from(plan.is_some())];
        bytes.extend(volume.to_le_bytes());
        bytes.extend((units as f32).to_le_bytes());
        bytes.extend(number.to_le_bytes());
        bytes.extend(plan.map(u16::to_le_bytes).into_iter().flatten());
        bytes
    }

    /// From bytes; `None` where they are no such message.
    pub fn parse(bytes: &[u8]) -> Option<UnitsMessage> {
        let (head, plan) = bytes.split_at_checked(17)?;
        let volume = u64::from_le_bytes(head[1..9].try_into().ok()?);
        let units = f64::from(f32::from_le_bytes(head[9..13].try_into().ok()?));
        let number = u32::from_le_bytes(head[13..17].try_into().ok()?);
        match (head[0], plan) {
            _ if !units.is_finite() || units <= 0.0 => None,
            (0, []) => Some(UnitsMessage::Grant { volume, units, number }),
            (1, &[a, b]) => {
                Some(UnitsMessage::Request { volume, plan: u16::from_le_bytes([a, b]), units, number })
            }
            _ => None,
        }
    }
}
