//! Ends what a case has started if the case itself is ended, however that happens.
use std::os::unix::process::{parent_id, CommandExt};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(100);

/// Starts the guard, in a process group of its own, and ends this process once its script is gone.
#[expect(clippy::zombie_processes, reason = "the guard outlives this process")]
pub fn start(folder: &Path) {
    let program = std::env::current_exe().expect("this program");
    let mut guard = Command::new(program);
    guard.arg("guard").arg(folder).process_group(0);
    guard.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    guard.spawn().expect("the guard starts");
    let script = parent_id();
    std::thread::spawn(move || loop {
        std::thread::sleep(INTERVAL);
        if parent_id() != script {
            std::process::exit(2);
        }
    });
}

/// Waits until the process that started the guard is gone, then ends the coordinators whose process ids stand in
/// `folder`, and removes it. An id counts only if that process was started with the name of the folder.
pub fn watch(folder: &str) {
    let case = parent_id();
    while parent_id() == case {
        std::thread::sleep(INTERVAL);
    }
    let pids = std::fs::read_to_string(Path::new(folder).join("pids")).unwrap_or_default();
    for pid in pids.lines() {
        let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        if String::from_utf8_lossy(&environment).contains(&format!("REVIEW_FOLDER={folder}\0")) {
            let _ = Command::new("kill").arg("-KILL").arg(pid).stderr(Stdio::null()).status();
        }
    }
    let _ = std::fs::remove_dir_all(folder);
}
