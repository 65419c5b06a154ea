//! The interface between an initiator and its scheduler: settings, events and actions.
//!
//! A point in time is a [`Duration`](std::time::Duration) since the zero of the initiator's clock, which
//! never goes backwards. Request sizes are given in units, in which reserves, limits and capacities are
//! counted too. Classes, plans, zones and shards are identified by number.

mod action;
mod endpoint;
mod event;
mod request;
mod settings;

pub use action::Action;
pub use endpoint::{EndpointId, EndpointListKind, EndpointUpdate, LoadReport, Readiness};
pub use event::{Event, PeerGossip};
pub use request::{AttemptOutcome, EndedAttempt, Request, RequestId, VolumeId};
pub use settings::{DedupScope, Idempotency, Plan, RequestClass, RetryBudgetRules, Settings, SharedRules};
