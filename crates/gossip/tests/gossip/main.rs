//! Tests of gossip among many initiators in virtual time, on a network that loses, duplicates and delays
//! datagrams and is partitioned.

mod anti_entropy;
mod config_rollout;
mod limits;
mod membership;
mod network;
mod observation_age;
mod push;
mod validation;
