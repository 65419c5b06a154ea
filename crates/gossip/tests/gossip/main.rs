//! Gossip among many initiators in virtual time, over a network that loses, duplicates, delays and partitions.

mod anti_entropy;
mod config_rollout;
mod limits;
mod membership;
mod network;
mod observation_age;
mod push;
mod validation;
