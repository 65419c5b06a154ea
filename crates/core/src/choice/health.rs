//! Health: what answers, time-outs and broken connections say of a node, and how many places it has at this host.

use super::*;

const OVERTAKEN: u32 = 3; // An attempt is missed once so many later ones came back before it,
const MISSED_LAGS: (f64, f64) = (2.0, 6.0); // and it is so many round trips old; without, the second.
const WINDOW_AIM: f64 = 0.2; // It halves once round trips take this part of the shortest aim.

impl Scheduler {
    /// Takes an ended attempt off its node.
    pub(super) fn settle_out(&mut self, id: EndpointId, a: &EndedAttempt) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let at = node.out.iter().position(|o| (o.job, o.number) == (a.request, a.number));
        let Some(out) = at.map(|at| node.out.remove(at)).filter(|o| o.missed) else { return };
        // A jammed node is late too; only what later ones overtook can have been lost.
        if a.outcome == AttemptOutcome::TimedOut && out.overtaken > 0 {
            self.lost.add(self.now, 1.0, LEASE);
        }
    }

    /// A node serves in turn of arrival: attempts sent before one that is now answered were overtaken.
    pub(super) fn count_overtaken(&mut self, id: EndpointId, a: &EndedAttempt, sent: Duration) {
        let Some(node) = self.nodes.get_mut(&id).filter(|_| a.outcome == AttemptOutcome::Served) else {
            return;
        };
        node.quiet = 0;
        // Answered before one that was missed: the node is not jammed, that one was lost or is slow.
        if node.out.iter().any(|o| o.missed && o.sent_at < sent) {
            node.lag = nanos(a.elapsed);
        }
        node.out.iter_mut().filter(|o| o.sent_at < sent).for_each(|o| o.overtaken += 1);
    }

    /// Attempts or answers may vanish on the way, and would hold places until the deadline. One that
    /// later ones have overtaken, or that is very late, holds no place; the more a silent node is owed,
    /// the longer the next is waited for.
    pub(super) fn notice_missed(&mut self) {
        let now = self.now;
        let mut next = FOREVER;
        // Of thousands of nodes few have something out.
        let out = self.jobs.values().flat_map(|j| j.attempts.iter().filter(|a| a.2).map(|a| a.0));
        for id in out.collect::<BTreeSet<EndpointId>>() {
            let Some(node) = self.nodes.get_mut(&id) else { continue };
            let trip = node.lag.max(node.service).max(1e6);
            for out in node.out.iter_mut().filter(|o| !o.missed && !o.free) {
                let overtaken = out.overtaken >= OVERTAKEN;
                let lags = if overtaken { MISSED_LAGS.0 } else { MISSED_LAGS.1 * f64::from(1 << node.quiet) };
                let at = out.sent_at.saturating_add(span_of(lags * trip));
                out.missed = at <= now;
                if out.missed {
                    node.quiet = (node.quiet + u32::from(!overtaken)).min(8);
                    // No answer is news as well: the round trip is at least this long by now.
                    let late = nanos(now - out.sent_at);
                    if !overtaken && self.lost.get(now, LEASE) <= 0.05 && late > node.lag {
                        (node.lag, node.seen_at) = (late, now);
                    }
                } else {
                    next = next.min(at);
                }
            }
        }
        self.wake_by(next);
    }

    /// Health: the window halves on what went wrong or late, and grows per round trip otherwise.
    pub(super) fn judge(&mut self, id: EndpointId, a: &EndedAttempt, units: f64) {
        let (now, aim, warm_up) =
            (self.now, self.set.shortest_latency_objective_nanos(), self.set.rules.slow_start_duration);
        let (thin, saved) = (
            self.bears() / self.rivals() < self.set.max_request_units,
            self.first_saved(id, now, now.as_nanos() as u64),
        );
        let unreached = Some(self.set.connect_timeout).filter(|t| !t.is_zero()).unwrap_or(FOREVER);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        // What a cold node has done in time it can do again within a fall window, whoever's turn it is.
        if a.outcome == AttemptOutcome::Served && thin && nanos(a.elapsed) <= aim {
            node.relays = if node.relay_until >= now { node.relays + 1 } else { 1 };
            node.relay_until = now + self.set.rules.overload_window;
        }
        if let Some(ms) = a.load_report.service_ms.filter(|ms| *ms > 0.0) {
            node.service = ms * 1e6;
        }
        match a.outcome {
            AttemptOutcome::Served => {
                let lag = nanos(a.elapsed);
                let news = 1.0 - (-seconds(now - node.seen_at) / seconds(LEASE)).exp();
                node.lag += if node.lag > 0.0 { news.max(0.2) * (lag - node.lag) } else { lag };
                if node.born.is_none_or(|born| now >= born + warm_up) {
                    self.pace *= if units * 1e9 > self.pace * lag { 1.1 } else { 1.0 / 1.1 };
                }
                (node.seen_at, node.fails, node.unheard) = (now, 0, 0);
                // Connections may break under a process that lives on: what it answers at once, or was
                // sent before the break, tells that it did not restart.
                if node.broke_at.is_some_and(|at| now - a.elapsed.min(now) < at || now < at + SECOND) {
                    node.born = node.listed;
                }
                node.broke_at = None;
                if node.lag > WINDOW_AIM * aim {
                    node.shrink(now);
                } else if node.held() + 2.0 > node.window {
                    node.window = (node.window + 1.0 / node.window).min(WINDOW_TOP);
                }
            }
            AttemptOutcome::Cancelled if nanos(a.elapsed) > node.lag => {
                (node.lag, node.seen_at) = (nanos(a.elapsed), now)
            }
            AttemptOutcome::Error | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            AttemptOutcome::TimedOut => {
                node.unheard = (node.unheard + u32::from(nanos(a.elapsed) > aim)).min(8);
                node.shrink(now);
            }
            AttemptOutcome::Rejected => {
                node.shrink(now);
                node.hold_until = now + span_of(node.service.max(1e7));
            }
            // One connection that does not come up may be lost on the way; a process that starts refuses.
            AttemptOutcome::ConnectFailed if node.fails == 0 && a.elapsed >= unreached => node.fails = 1,
            AttemptOutcome::ConnectionLost | AttemptOutcome::ConnectFailed => {
                // A restart the list has not told of yet: send little, and ramp as after a start.
                node.shrink(now);
                let wait = backoff(BACKOFF.0, BACKOFF.1, node.fails);
                let first = a.outcome == AttemptOutcome::ConnectionLost && node.fails == 0;
                node.hold_until = if first { Duration::ZERO } else { now + wait };
                let broken = a.outcome == AttemptOutcome::ConnectionLost
                    && (node.fails == 0 || node.broke_at.is_some());
                node.broke_at = broken.then_some(now);
                node.fails += 1;
                (node.born, node.relays, node.saved) = (Some(now), 0, saved);
                // What a process that may be dead took does not burden its successor.
                if node.listed.is_none_or(|at| now >= at + self.set.rules.slow_start_duration) {
                    node.sent.clear();
                }
            }
        }
    }
}

impl Node {
    /// The round trip as believed now: a late answer is no longer news after a lease or two.
    pub(super) fn trip(&self, now: Duration) -> f64 {
        let fresh = (-seconds(now.saturating_sub(self.seen_at)) / seconds(LEASE)).exp();
        self.service + (self.lag - self.service).max(0.0) * fresh
    }

    pub(super) fn shrink(&mut self, now: Duration) {
        if now >= self.shrunk_at + span_of(self.lag) {
            self.window = (self.window / 2.0).max(1.0);
            self.shrunk_at = now;
        }
    }

    pub(super) fn cost(&self, req: &Request) -> f64 {
        req.units * if self.repeats(req) { REPEAT_COST } else { 1.0 }
    }
}
