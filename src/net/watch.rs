//! The watch of discovery: the list as it changes, followed for as long as the program runs.

use super::host::{log, Host};
use super::lines::Lines;
use crate::broker::Input;
use crate::members;
use awc::{Client, Connector};
use std::net::SocketAddr;
use std::time::Duration;

/// Discovery sends at least an empty line every 2 s; several missed are a broken watch. What it has to tell
/// counts as told 6 s after, so a new watch has to be up by then.
const SILENT: Duration = Duration::from_secs(5);
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Follows the list from a revision on; never ends.
pub async fn follow(host: Host, agent: SocketAddr, mut revision: u64) {
    let connector = Connector::new().timeout(Duration::from_secs(2)).conn_lifetime(Duration::MAX);
    let client = Client::builder().connector(connector).disable_redirects().disable_timeout().finish();
    let mut wait = FIRST_WAIT;
    loop {
        let before = revision;
        let why = watch_once(&host, &client, agent, &mut revision).await;
        wait = if revision > before { FIRST_WAIT } else { (wait * 2).min(LONGEST_WAIT) };
        log(&format!("watch ended at revision {revision} ({why}); again in {} ms", wait.as_millis()));
        tokio::time::sleep(wait).await;
    }
}

async fn watch_once(host: &Host, client: &Client, agent: SocketAddr, revision: &mut u64) -> String {
    let url = format!("http://{agent}/catalog/members?stream=1&index={revision}");
    let response = match tokio::time::timeout(SILENT, client.get(url).send()).await {
        Ok(Ok(response)) if response.status().is_success() => response,
        Ok(Ok(response)) => return format!("answered {}", response.status()),
        Ok(Err(error)) => return format!("could not be asked: {error}"),
        Err(_) => return "no answer".into(),
    };
    let mut lines = Lines::new(response);
    loop {
        let mut line = match lines.next(SILENT).await {
            Ok(line) if line.iter().all(u8::is_ascii_whitespace) => continue,
            Ok(line) => line,
            Err(why) => return why,
        };
        match members::read(&mut line) {
            Ok(members) => {
                *revision = members.revision;
                host.feed(Input::List(members));
            }
            Err(fault) => return format!("unreadable: {fault}"),
        }
    }
}
