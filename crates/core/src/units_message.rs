//! Messages by which initiators request and grant units of limited volumes, and their binary encoding.
//!
//! `scheduler/unit_grants.rs` decides how many units are requested and granted. Part of each volume's limit
//! is kept in a pool at one initiator, the volume's home.

/// A message between two initiators about the units of a limited volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UnitsMessage {
    /// Requests units from the volume's home, sent by an initiator that lacks them.
    Request {
        /// The volume.
        volume: u64,
        /// The number of the volume's plan.
        plan: u16,
        /// How many units are requested.
        units: f64,
        /// Identifies this request; the grant repeats the number.
        number: u32,
    },
    /// Grants units, sent by the volume's home.
    Grant {
        /// The volume.
        volume: u64,
        /// How many units may be spent.
        units: f64,
        /// The number of the request that is answered.
        number: u32,
    },
}

impl UnitsMessage {
    /// Encodes the message in little-endian order: 17 bytes for a grant, 19 for a request.
    pub fn encode(&self) -> Vec<u8> {
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

    /// Decodes a message. Returns `None` if the bytes are not a valid message or the amount is not positive
    /// and finite.
    pub fn decode(bytes: &[u8]) -> Option<UnitsMessage> {
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
