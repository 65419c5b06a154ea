//! Tests of aggregation among many initiators on a simulated network in virtual time.

mod amounts;
mod cost;
mod failures;
mod network;
mod ownership;
mod totals;
mod validation;
