//! Everything that touches a socket.
pub mod buffer;
pub mod clients;
pub mod discovery;
pub mod frames;
pub mod front;
pub mod http;
pub mod nodes;
pub mod opensearch;

use std::future::Future;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;

/// What `work` gives, or `None` if `deadline` comes first.
pub async fn by<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let late = async {
        Timer::at(deadline).await;
        None
    };
    work.or(late).await
}
