//! What an initiator and its scheduler say to each other: settings, events and actions.
//!
//! A point in time is the span since the zero of the initiator's clock, which never goes backwards. Units are the sizes
//! of requests, in which reserves, limits and capacities are counted. Classes, plans, zones and shards go by number.

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
