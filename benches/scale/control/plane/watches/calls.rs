//! The calls of a watch, one after the other, and how discovery answers them.
use super::*;

/// Virtual time of one of the program's constants.
fn micros(time: std::time::Duration) -> Micros {
    time.as_micros() as Micros
}

impl Played for Watches {
    type Event = Event;

    fn queue(&mut self) -> &mut Queue<Event> {
        &mut self.queue
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Begin(i, call) if self.watches[i].call == call => self.begin(i),
            Event::Ask(i, call, connecting) if self.watches[i].call == call => self.ask(i, connecting),
            Event::Arrive(held, wait) => self.arrive(held, wait),
            Event::Expire(i, call) => {
                if let Some(at) = self.held.iter().position(|h| h.watch == i && h.call == call) {
                    let held = self.held.swap_remove(at);
                    self.serve(held);
                }
            }
            Event::Answer(i, call, bytes) if self.watches[i].call == call => self.answered(i, &bytes),
            Event::Late(i, call) if self.watches[i].call == call => {
                // Silent: begun anew, at the pace of calls.
                let after = (self.watches[i].called + micros(MIN_CALL_INTERVAL)).saturating_sub(self.now());
                self.again(i, after);
            }
            Event::Broken(i, call) if self.watches[i].call == call => {
                let continues = self.now() < self.watches[i].continues;
                self.again(i, if continues { 0 } else { micros(MAX_BACKOFF) });
                self.watches[i].failed += u64::from(!continues);
            }
            _ => {}
        }
    }
}

impl Watches {
    /// Another connection is begun after that time.
    fn again(&mut self, i: usize, after: Micros) {
        self.watches[i].call += 1;
        self.queue.later(after, Event::Begin(i, self.watches[i].call));
    }

    fn begin(&mut self, i: usize) {
        let now = self.now();
        let watch = &mut self.watches[i];
        watch.called = now;
        let call = watch.call;
        match self.links.carry(watch.place, AT) {
            Some(delay) => self.queue.later(2 * delay, Event::Ask(i, call, 2 * delay)),
            None => {
                watch.failed += 1;
                self.again(i, micros(CONNECT_TIMEOUT) + micros(MAX_BACKOFF));
            }
        }
    }

    fn ask(&mut self, i: usize, connecting: Micros) {
        let (now, terms) = (self.now(), self.terms);
        let watch = &mut self.watches[i];
        if connecting == 0 {
            watch.called = now;
        }
        let hold = (micros(terms.poll_wait) / MS).saturating_sub(connecting / MS / 100 * 100);
        let text = version::poll_request(SocketAddr::from(DISCOVERY), watch.seq, hold);
        watch.traffic.sent.add(text.len());
        watch.asked_bytes = text.len();
        let held = HeldCall { watch: i, call: watch.call, index: watch.seq };
        let latest = watch.called + micros(terms.poll_wait) + micros(terms.answer_slack);
        self.queue.later(latest.saturating_sub(now), Event::Late(i, watch.call));
        if let Some(delay) = self.links.carry(watch.place, AT) {
            self.asked.add(text.len());
            self.queue.later(delay, Event::Arrive(held, hold * MS));
        }
    }

    fn arrive(&mut self, held: HeldCall, wait: Micros) {
        if self.catalogue.newer(held.index) {
            return self.serve(held);
        }
        self.queue.later(wait, Event::Expire(held.watch, held.call));
        self.held.push(held);
    }

    pub(super) fn serve(&mut self, held: HeldCall) {
        let bytes = self.catalogue.answer(held.index);
        let now = self.now();
        self.served.add(bytes.len());
        let sending = (bytes.len() as u64 * SECOND).div_ceil(RATE);
        self.busy_until = self.busy_until.max(now) + sending;
        let waits = self.busy_until - now;
        if let Some(delay) = self.links.carry(AT, self.watches[held.watch].place) {
            self.queue.later(waits + delay, Event::Answer(held.watch, held.call, bytes));
        }
    }

    fn answered(&mut self, i: usize, bytes: &[u8]) {
        let now = self.now();
        let begun = Instant::now();
        let taken = self.take(i, bytes);
        let watch = &mut self.watches[i];
        watch.traffic.took(begun.elapsed());
        watch.traffic.received.add(bytes.len());
        watch.continues = now + micros(WATCH_CONTINUES_WITHIN);
        match taken {
            Ok(newer) => {
                if newer {
                    watch.told = now;
                    watch.news.add(watch.asked_bytes + bytes.len());
                }
                watch.call += 1;
                let next =
                    if newer { 0 } else { (watch.called + micros(MIN_CALL_INTERVAL)).saturating_sub(now) };
                self.queue.later(next, Event::Ask(i, watch.call, 0));
            }
            Err(why) => {
                watch.failed += 1;
                self.broken.get_or_insert(why);
                self.again(i, micros(MAX_BACKOFF));
            }
        }
    }

    /// Reads an answer as the program does; whether it was newer.
    fn take(&mut self, i: usize, bytes: &[u8]) -> Result<bool, String> {
        let mut buffer = Buffer::default();
        let mut stream = bytes;
        let read = http::read(&mut stream, &mut buffer, MessageKind::Response, MAX_LIST_BYTES);
        let message = futures_lite::future::block_on(read).map_err(|e| e.to_string())?;
        let body = message.body(&buffer);
        let list: EndpointList = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        let watch = &mut self.watches[i];
        let taken = version::interpret(&list, watch.seq, self.terms.is_push).map_err(|e| e.to_string())?;
        match taken.update {
            Some(EndpointUpdate::Full) => {
                watch.whole += 1;
                watch.held.fill(Health::Removed as u8);
            }
            Some(_) => watch.deltas += 1,
            None => {}
        }
        for host in list.endpoints.iter().filter(|_| taken.update.is_some()) {
            let at = number(&host.name).and_then(|n| watch.held.get_mut(n));
            let health = [Health::Up, Health::Draining, Health::Removed];
            let known = health.into_iter().find(|h| h.name() == host.health);
            if let (Some(at), Some(known)) = (at, known) {
                *at = known as u8;
            }
        }
        watch.seq = taken.seq;
        Ok(taken.is_new_version)
    }
}
