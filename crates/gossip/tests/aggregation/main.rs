//! Sums over all initiators on a network in virtual time.

mod amounts;
mod cost;
mod failures;
mod network;
mod ownership;
mod totals;
mod validation;
