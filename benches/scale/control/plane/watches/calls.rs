//! The successive calls of a watch, and the answers of discovery.
use super::*;

/// Converts a constant of the program to virtual time.
fn micros(time: Duration) -> Micros {
    time.as_micros() as Micros
}

impl Simulation for Watches {
    type Event = Event;

    fn queue(&mut self) -> &mut Queue<Event> {
        &mut self.queue
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Connect(i, call) if self.watches[i].call == call => self.connect(i),
            Event::SendCall(i, call, delay) if self.watches[i].call == call => self.send_call(i, delay),
            Event::CallArrived(pending_call, wait) => self.on_call(pending_call, wait),
            Event::WaitExpired(i, call) => {
                if let Some(at) = self.pending_calls.iter().position(|h| h.watch == i && h.call == call) {
                    let pending_call = self.pending_calls.swap_remove(at);
                    self.answer_call(pending_call);
                }
            }
            Event::AnswerArrived(i, call, bytes) if self.watches[i].call == call => self.on_answer(i, &bytes),
            Event::AnswerOverdue(i, call) if self.watches[i].call == call => {
                // No answer within the limit: reconnect, but no sooner than the minimum interval between
                // calls.
                let after = (self.watches[i].called_at + micros(self.policy.min_call_interval))
                    .saturating_sub(self.now());
                self.reconnect_after(i, after);
            }
            Event::ConnectionReset(i, call) if self.watches[i].call == call => {
                let continues = self.now() < self.watches[i].continues_until;
                self.reconnect_after(i, if continues { 0 } else { micros(MAX_BACKOFF) });
                self.watches[i].failed += u64::from(!continues);
            }
            _ => {}
        }
    }
}

impl Watches {
    /// Opens another connection after a delay.
    fn reconnect_after(&mut self, i: usize, after: Micros) {
        self.watches[i].call += 1;
        self.queue.schedule(after, Event::Connect(i, self.watches[i].call));
    }

    fn connect(&mut self, i: usize) {
        let now = self.now();
        let watch = &mut self.watches[i];
        watch.called_at = now;
        let call = watch.call;
        match self.links.transmit(watch.location, DISCOVERY_LOCATION) {
            Some(delay) => self.queue.schedule(2 * delay, Event::SendCall(i, call, 2 * delay)),
            None => {
                watch.failed += 1;
                self.reconnect_after(i, micros(CONNECT_TIMEOUT) + micros(MAX_BACKOFF));
            }
        }
    }

    fn send_call(&mut self, i: usize, connect_time: Micros) {
        let (now, policy) = (self.now(), self.policy);
        let watch = &mut self.watches[i];
        if connect_time == 0 {
            watch.called_at = now;
        }
        let hold = (micros(policy.poll_wait) / MS).saturating_sub(connect_time / MS / 100 * 100);
        let request = version::poll_request(SocketAddr::from(DISCOVERY_ADDRESS), watch.seq, hold);
        watch.traffic.sent.add(request.len());
        watch.request_bytes = request.len();
        let pending_call = PendingCall { watch: i, call: watch.call, index: watch.seq };
        let answer_deadline = watch.called_at + micros(policy.poll_wait) + micros(policy.answer_slack);
        self.queue.schedule(answer_deadline.saturating_sub(now), Event::AnswerOverdue(i, watch.call));
        if let Some(delay) = self.links.transmit(watch.location, DISCOVERY_LOCATION) {
            self.received.add(request.len());
            self.queue.schedule(delay, Event::CallArrived(pending_call, hold * MS));
        }
    }

    fn on_call(&mut self, pending_call: PendingCall, wait: Micros) {
        if self.catalogue.is_newer(pending_call.index) {
            return self.answer_call(pending_call);
        }
        self.queue.schedule(wait, Event::WaitExpired(pending_call.watch, pending_call.call));
        self.pending_calls.push(pending_call);
    }

    pub(super) fn answer_call(&mut self, pending_call: PendingCall) {
        let bytes = self.catalogue.answer(pending_call.index);
        let now = self.now();
        self.sent.add(bytes.len());
        let transmission_time = (bytes.len() as u64 * SECOND).div_ceil(DISCOVERY_BANDWIDTH);
        self.busy_until = self.busy_until.max(now) + transmission_time;
        let queue_delay = self.busy_until - now;
        if let Some(delay) =
            self.links.transmit(DISCOVERY_LOCATION, self.watches[pending_call.watch].location)
        {
            self.queue.schedule(
                queue_delay + delay,
                Event::AnswerArrived(pending_call.watch, pending_call.call, bytes),
            );
        }
    }

    fn on_answer(&mut self, i: usize, bytes: &[u8]) {
        let now = self.now();
        let started = Instant::now();
        let outcome = self.apply_answer(i, bytes);
        let watch = &mut self.watches[i];
        watch.traffic.record_call(started.elapsed());
        watch.traffic.received.add(bytes.len());
        watch.continues_until = now + micros(WATCH_CONTINUES_WITHIN);
        match outcome {
            Ok(newer) => {
                if newer {
                    watch.updated_at = now;
                    watch.updates.add(watch.request_bytes + bytes.len());
                }
                watch.call += 1;
                let next = if newer {
                    0
                } else {
                    (watch.called_at + micros(self.policy.min_call_interval)).saturating_sub(now)
                };
                self.queue.schedule(next, Event::SendCall(i, watch.call, 0));
            }
            Err(error) => {
                watch.failed += 1;
                self.failure.get_or_insert(error);
                self.reconnect_after(i, micros(MAX_BACKOFF));
            }
        }
    }

    /// Reads an answer as the program does and returns whether it brought a new version.
    ///
    /// # Errors
    ///
    /// Returns a description of an answer that could not be read.
    fn apply_answer(&mut self, i: usize, bytes: &[u8]) -> Result<bool, String> {
        let mut buffer = Buffer::default();
        let mut stream = bytes;
        let read = http::read(&mut stream, &mut buffer, MessageKind::Response, MAX_LIST_BYTES);
        let message = futures_lite::future::block_on(read).map_err(|e| e.to_string())?;
        let body = message.body(&buffer);
        let list: EndpointList = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let watch = &mut self.watches[i];
        let interpreted =
            version::interpret(&list, watch.seq, self.policy.is_push).map_err(|e| e.to_string())?;
        match interpreted.update {
            Some(EndpointUpdate::Full) => {
                watch.full_lists += 1;
                watch.health.fill(Health::Removed as u8);
            }
            Some(_) => watch.deltas += 1,
            None => {}
        }
        for host in list.endpoints.iter().filter(|_| interpreted.update.is_some()) {
            let at = host_number(&host.name).and_then(|n| watch.health.get_mut(n));
            let health = [Health::Up, Health::Draining, Health::Removed];
            let known = health.into_iter().find(|h| h.name() == host.health);
            if let (Some(at), Some(known)) = (at, known) {
                *at = known as u8;
            }
        }
        watch.seq = interpreted.seq;
        Ok(interpreted.is_new_version)
    }
}
