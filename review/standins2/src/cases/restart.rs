//! A coordinator is killed while a search that must not repeat is in hand. It comes back after 1.7 s, says that
//! it is healthy, and the client asks it again under the same id.
use std::time::{Duration, Instant};

use crate::http::{self, Servers};
use crate::members::{self, Setting};

/// The coordinator is away for so long.
const AWAY: Duration = Duration::from_millis(1700);

pub fn run(setting: &Setting, trouble: bool) -> Result<bool, String> {
    let record = &setting.record;
    let when_full = std::env::var("WHEN_FULL").unwrap_or_else(|_| "unprotected".to_owned());
    let servers = Servers::start(3, 4, record, |_| Duration::from_millis(160));
    let mut fleet = members::fleet(setting, &servers, &members::accra("side_effect"), 75, &when_full);
    members::start_fleet(&mut fleet)?;
    std::thread::sleep(Duration::from_millis(300));
    let mut held = true;
    for round in 0..3 {
        let id = format!("registration-{round}");
        let front = fleet[0].1;
        record.note(&format!("client sends {id} to c1"));
        let first = http::send_search(front, "field-lookup", &id, 3, 3500).map_err(|e| e.to_string())?;
        members::wait(Duration::from_secs(3), || !servers.runs_of(&id).is_empty())
            .map_err(|()| format!("{id} reached no server"))?;
        if trouble {
            fleet[0].0.kill();
        }
        let answer = http::read_answer(&first);
        record.note(&format!("first answer to {id}: {:?}", answer.map(|(status, _)| status)));
        if trouble {
            std::thread::sleep(AWAY);
            fleet[0].0.start();
        }
        let limit = Instant::now() + Duration::from_secs(10);
        while !http::is_healthy(front) {
            if Instant::now() > limit {
                return Err("c1 is not healthy again".to_owned());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record.note(&format!("c1 is healthy; client asks it again for {id}"));
        let again = http::send_search(front, "field-lookup", &id, 3, 3500).map_err(|e| e.to_string())?;
        let answer = http::read_answer(&again);
        record.note(&format!("answer to {id}, asked again: {:?}", answer.as_ref().map(|(status, _)| status)));
        std::thread::sleep(Duration::from_millis(500));
        let runs = servers.runs_of(&id).len();
        record.note(&format!("{id} ran {runs} times"));
        if runs > 1 {
            held = false;
        }
        // The next round starts with a fleet that a coordinator has not just left.
        if !held || trouble {
            break;
        }
    }
    Ok(held)
}
