//! Crowds of clients, and the memory and descriptors that a process uses meanwhile.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time after which a crowd no longer waits for a process that neither reads nor closes.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// `ProcessLimits` is what a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// The memory that a process may use, in megabytes.
    pub memory_mb: usize,
    /// The descriptors that a process may open.
    pub max_fds: usize,
}

impl ProcessLimits {
    /// Returns the memory that a process may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb * 1_000_000
    }

    /// Returns the sockets and pipes that a process may open.
    pub fn max_sockets(&self) -> usize {
        self.max_fds - FILE_DESCRIPTORS
    }
}

/// `Client` is what one client sends, in pieces, before it stays connected.
type Client = Arc<[Bytes]>;

/// `Crowd` is a number of clients that connect at the same time, send without reading, and stay connected.
#[derive(Clone, Debug)]
pub struct Crowd(Vec<Client>);

impl Crowd {
    /// Returns `count` clients that send the same pieces.
    pub fn of<P: Into<Bytes>>(count: usize, pieces: Vec<P>) -> Self {
        let client: Client = pieces.into_iter().map(Into::into).collect();
        Self(vec![client; count])
    }

    /// Makes all clients except one in `every` omit the last bytes.
    pub fn complete_every(self, every: usize) -> Self {
        /// The end of the last chunk, or less than a body.
        const OMITTED: usize = 5;
        let shorten = |client: &Client| {
            let mut pieces = client.to_vec();
            let last = pieces.last_mut().expect("a client that sends something");
            last.truncate(last.len().saturating_sub(OMITTED));
            Client::from(pieces)
        };
        let whole = |(at, client): (usize, Client)| {
            if at % every == 0 { client } else { shorten(&client) }
        };
        Self(self.0.into_iter().enumerate().map(whole).collect())
    }

    /// Returns a crowd with the first `count` clients.
    pub fn limited(mut self, count: usize) -> Self {
        self.0.truncate(count);
        self
    }

    /// Returns a crowd in which clients of all `crowds` connect in turns.
    pub fn mixed(crowds: Vec<Crowd>) -> Self {
        let most = crowds.iter().map(|crowd| crowd.0.len()).max().unwrap_or(0);
        let turns = (0..most).flat_map(|at| crowds.iter().filter_map(move |one| one.0.get(at)));
        Self(turns.cloned().collect())
    }

    /// Connects all clients and sends what they send. Returns the connections, which stay open.
    pub async fn send(self, address: SocketAddr) -> Vec<TcpStream> {
        let clients = self.0.into_iter().map(|client| tokio::spawn(send(address, client)));
        let clients: Vec<_> = clients.collect();
        let mut connected = Vec::new();
        for client in clients {
            connected.extend(client.await.expect("no panic"));
        }
        connected
    }
}

/// Connects a client and sends its pieces. Returns the connection unless the process closed it.
async fn send(address: SocketAddr, client: Client) -> Option<TcpStream> {
    let sending = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        for piece in client.iter() {
            stream.write_all(piece).await.ok()?;
            tokio::task::yield_now().await;
        }
        Some(stream)
    };
    tokio::time::timeout(SEND_TIMEOUT, sending).await.ok().flatten()
}

/// `Peak` is the most that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// The resident memory, in bytes.
    pub resident: usize,
    /// The bytes that had been received and not read.
    pub unread: usize,
    /// The open sockets and pipes.
    pub sockets: usize,
}

impl Peak {
    /// Returns the memory by which the limit of a process is judged: bytes that have not been read count as well.
    pub fn memory_bytes(&self) -> usize {
        self.resident + self.unread
    }
}

/// `Usage` samples what a process uses.
#[derive(Debug)]
pub struct Usage {
    process: u32,
    is_over: Arc<AtomicBool>,
    sampling: JoinHandle<Peak>,
}

impl Usage {
    /// Starts to sample a process that listens at `address`.
    pub fn watch(process: u32, address: IpAddr) -> Self {
        let is_over: Arc<AtomicBool> = Arc::default();
        let until = Arc::clone(&is_over);
        let sampling = std::thread::spawn(move || {
            let mut peak = Peak::default();
            loop {
                // What is used when the sampling ends counts as well.
                let is_over = until.load(Ordering::Acquire);
                peak.unread = peak.unread.max(unread_at(address));
                peak.sockets = peak.sockets.max(sockets_of(process));
                if is_over {
                    return peak;
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { process, is_over, sampling }
    }

    /// Ends the sampling and returns the peak.
    pub fn end(self) -> Peak {
        self.is_over.store(true, Ordering::Release);
        let peak = self.sampling.join().expect("no panic");
        Peak { resident: peak_resident_of(self.process), ..peak }
    }
}

/// Returns the peak of a process's resident memory, 0 if it has ended.
fn peak_resident_of(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0) * 1_024
}

fn sockets_of(process: u32) -> usize {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{process}/fd")) else { return 0 };
    let targets = entries.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let is_socket = |text: &str| text.starts_with("socket:") || text.starts_with("pipe:");
    targets.filter(|target| target.to_str().is_some_and(is_socket)).count()
}

/// Returns the bytes that the sockets at an IPv4 address have received and that have not been read.
fn unread_at(address: IpAddr) -> usize {
    const QUEUES: usize = 4;
    let IpAddr::V4(address) = address else { return 0 };
    let local = format!("{:08X}:", u32::from_ne_bytes(address.octets()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let fields = table.lines().map(|line| line.split_ascii_whitespace().collect::<Vec<_>>());
    let ours = fields.filter(|fields| fields.get(1).is_some_and(|at| at.starts_with(&local)));
    let queued = ours.filter_map(|fields| {
        let (_, received) = fields.get(QUEUES)?.split_once(':')?;
        usize::from_str_radix(received, 16).ok()
    });
    queued.sum()
}
