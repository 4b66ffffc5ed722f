//! One of three coordinators is told to end (SIGTERM) under a steady load, all of which is sent to the other two. Most
//! of the searches must not repeat.
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Servers};
use crate::members::{self, Setting};

/// Searches a second, over both coordinators that stay.
const RATE: u32 = 34;
/// How long a server takes for a search; wanted within 2 s.
const SERVICE: Duration = Duration::from_millis(800);
const DURATION: Duration = Duration::from_secs(13);
const STOP_AT: Duration = Duration::from_secs(2);
/// Of eight searches. The site's shares are 12%, 62% and 25%.
const CLASSES: [&str; 8] = [
    "overlap-check",
    "field-lookup",
    "district-summary",
    "field-lookup",
    "field-lookup",
    "field-lookup",
    "district-summary",
    "field-lookup",
];
/// What `docs/fleet-together.md` grants for new searches, with the slack of sockets and of a held-up process.
const TAKES_NEW: Duration = Duration::from_millis(550 + 50 + 150);

struct Answer {
    id: String,
    sent: Instant,
    status: Option<u16>,
}

pub fn run(setting: &Setting, trouble: bool) -> Result<bool, String> {
    let record = &setting.record;
    let servers = Servers::start(3, 4, record, |_| SERVICE);
    let mut fleet = members::fleet(setting, &servers, &members::accra("side_effect"), 75, "refuse");
    members::start_fleet(&mut fleet)?;
    std::thread::sleep(Duration::from_millis(300));
    let answers = Arc::<Mutex<Vec<Answer>>>::default();
    let started = Instant::now();
    let mut stopped = None;
    let mut ended = false;
    let mut clients = Vec::new();
    for n in 0.. {
        let at = started + Duration::from_secs(1) * n / RATE;
        if at > started + DURATION {
            break;
        }
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if trouble && stopped.is_none() && started.elapsed() >= STOP_AT {
            fleet[0].0.terminate();
            stopped = Some(Instant::now());
        }
        if stopped.is_some() && !ended && fleet[0].0.has_ended() {
            ended = true;
            record.note("c1 has ended");
        }
        let front = fleet[1 + n as usize % 2].1;
        let (answers, record) = (answers.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let class = CLASSES[n as usize % CLASSES.len()];
            let id = format!("{class}-{n}");
            let sent = Instant::now();
            let status = http::send_search(front, class, &id, n % 4, 3500)
                .ok()
                .and_then(|stream| http::read_answer(&stream))
                .map(|(status, _)| status);
            record.note(&format!(
                "{id}, sent to c{} {:.0} ms ago: {status:?}",
                2 + n % 2,
                sent.elapsed().as_secs_f64() * 1000.0
            ));
            answers.lock().expect("not poisoned").push(Answer { id, sent, status });
        }));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if trouble && !ended {
        return Err("c1 did not end".to_owned());
    }
    // Searches that ran at a server, were served, and whose result nobody got.
    let served = servers.served.lock().expect("not poisoned").clone();
    let answers = answers.lock().expect("not poisoned");
    let mut lost = 0;
    let mut taken_late = 0;
    for answer in answers.iter() {
        let by_c1 = servers.runs_of(&answer.id).iter().any(|run| run.from == 0);
        let late = stopped.is_some_and(|at| answer.sent > at + TAKES_NEW);
        taken_late += u32::from(late && by_c1);
        let was_served = served.iter().any(|(id, _)| *id == answer.id);
        if answer.status != Some(200) && was_served {
            lost += 1;
            record.note(&format!("{} was served by its server, its client got {:?}; sent {} c1 should take new ones, run by c1: {by_c1}",
                answer.id, answer.status, if late { "after the time in which" } else { "while" }));
        }
    }
    let all = answers.len();
    let other = answers.iter().filter(|a| a.status != Some(200)).count();
    record.note(&format!("{all} searches, {other} not answered 200, {taken_late} run by c1 though sent after its time, {lost} ran and were lost"));
    Ok(lost == 0)
}
