//! The platform's protocols: HTTP to clients ([`downstream`]) and endpoints ([`upstream`]), the endpoint list
//! ([`discovery`]), operators' calls ([`management`]), and the hand-over between two versions of the program
//! ([`handover`]). No scheduling decisions are made here.

pub mod discovery;
pub mod downstream;
pub mod handover;
pub mod management;
pub mod upstream;
