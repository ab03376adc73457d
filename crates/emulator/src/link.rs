//! The link between one proxy and the planner. It can delay, throttle, hold back and break the streams, and records
//! their updates.

use crate::world::World;
use grebespool_invariants::Event;
use grebespool_wire::{Challenge, FrameDecoder, MAX_BODY_BYTES, Message, UpdateAck, Welcome};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How a stream breaks.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Break {
    /// Both ends close at once.
    Whole,
    /// Both ends close after half of the next frame to the proxy.
    MidFrame,
    /// Only the proxy's end closes. The planner's end stays open.
    Half,
}

/// The link of one proxy.
pub(crate) struct Link {
    world: Rc<World>,
    proxy: u16,
    pub(crate) zone: u16,
    pub(crate) addr: SocketAddr,
    /// Addresses of the planners. After each stream without a welcome the link dials the next one.
    planners: Rc<RefCell<Vec<SocketAddr>>>,
    planner_index: Cell<usize>,
    /// Delay of the planner's messages.
    pub(crate) delay: Cell<Duration>,
    /// Bandwidth for the planner's messages. Messages beyond that wait in the link.
    pub(crate) bytes_per_s: Cell<f64>,
    /// Bytes per second that the link reads from the planner. The rest waits in the planner's buffers.
    pub(crate) reads_per_s: Cell<f64>,
    /// True if the link accepts no new stream.
    pub(crate) closed: Cell<bool>,
    /// True if messages are held back in both directions, with the streams open.
    pub(crate) held: Cell<bool>,
    /// True if the proxy's acknowledgements are dropped.
    pub(crate) drops_acks: Cell<bool>,
    breaks: watch::Sender<Option<Break>>,
}

impl Link {
    /// Opens the link's listener and starts to accept streams.
    pub(crate) async fn new(
        world: Rc<World>,
        proxy: u16,
        zone: u16,
        planners: Rc<RefCell<Vec<SocketAddr>>>,
    ) -> io::Result<Rc<Link>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let link = Rc::new(Link {
            world,
            proxy,
            zone,
            addr: listener.local_addr()?,
            planners,
            planner_index: Cell::new(0),
            delay: Cell::new(Duration::ZERO),
            bytes_per_s: Cell::new(f64::INFINITY),
            reads_per_s: Cell::new(f64::INFINITY),
            closed: Cell::new(false),
            held: Cell::new(false),
            drops_acks: Cell::new(false),
            breaks: watch::channel(None).0,
        });
        let serving = link.clone();
        spawn_local(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { continue };
                if serving.closed.get() {
                    continue;
                }
                let serving = serving.clone();
                spawn_local(async move {
                    let welcomed = Cell::new(false);
                    let _ = serving.forward(near, &welcomed).await;
                    if !welcomed.get() {
                        serving.select_next_planner();
                    }
                });
            }
        });
        Ok(link)
    }

    /// Breaks the open stream.
    pub(crate) fn break_now(&self, how: Break) {
        let _ = self.breaks.send(Some(how));
    }

    /// Sets the planner that is dialled first, by index.
    pub(crate) fn dial_first(&self, planner_index: usize) {
        self.planner_index.set(planner_index);
    }

    /// Selects the next planner for the next dial, after the present one did not answer.
    pub(crate) fn select_next_planner(&self) {
        self.planner_index.set(self.planner_index.get() + 1);
    }

    /// Returns the address of the planner to dial.
    fn next_planner(&self) -> io::Result<SocketAddr> {
        let planners = self.planners.borrow();
        let count = planners.len().max(1);
        planners.get(self.planner_index.get() % count).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Waits until the link is released.
    async fn wait_until_released(&self) {
        while self.held.get() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Connects a proxy's stream to a planner and forwards both directions until it ends or breaks.
    async fn forward(self: &Rc<Self>, near: TcpStream, welcomed: &Cell<bool>) -> io::Result<()> {
        let mut breaks = self.breaks.subscribe();
        breaks.mark_unchanged();
        let far = TcpStream::connect(self.next_planner()?).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (from_proxy, to_proxy) = near.into_split();
        let (from_planner, to_planner) = far.into_split();
        let half = Rc::new(Cell::new(None));
        {
            let down = self.forward_to_proxy(from_planner, to_proxy, half.clone(), welcomed);
            let up = self.forward_to_planner(from_proxy, to_planner);
            tokio::pin!(down, up);
            tokio::select! {
                ended = &mut down => drop(ended),
                // The proxy closed its end. If the planner closes its end, `down` first delivers what is queued.
                ended = &mut up => drop(ended),
                _ = breaks.changed() => {
                    let how = *breaks.borrow();
                    match how {
                        Some(Break::MidFrame) => {
                            half.set(Some(Break::MidFrame));
                            let _ = timeout(Duration::from_millis(1500), &mut down).await;
                        }
                        Some(Break::Half) => {
                            half.set(Some(Break::Half));
                            // The planner's end stays open, and is read, until the planner closes it.
                            let _ = timeout(Duration::from_secs(20), &mut down).await;
                        }
                        _ => {}
                    }
                }
            }
        }
        Ok(())
    }

    /// Forwards messages from the planner to the proxy.
    #[expect(clippy::too_many_lines, reason = "two loops that share the queue")]
    async fn forward_to_proxy(
        &self,
        mut from: OwnedReadHalf,
        to: OwnedWriteHalf,
        broken: Rc<Cell<Option<Break>>>,
        welcomed: &Cell<bool>,
    ) -> io::Result<()> {
        let queue = RefCell::new(VecDeque::<(Duration, Message)>::new());
        let (queued, ended) = (Notify::new(), Cell::new(false));
        let incarnation = Cell::new(0);
        let reading = async {
            let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
            let mut buffer = [0; 8 << 10];
            loop {
                let read_size = match self.reads_per_s.get() {
                    rate if rate.is_finite() => {
                        sleep(Duration::from_secs_f64(1.0 / rate)).await;
                        1
                    }
                    _ => buffer.len(),
                };
                match from.read(&mut buffer[..read_size]).await {
                    Ok(n) if n > 0 => decoder.push(&buffer[..n]),
                    _ => break,
                }
                while let Ok(Some(message)) = decoder.next_message() {
                    let now = self.world.now();
                    if let Message::Challenge(Challenge { incarnation: id, .. }) = &message {
                        incarnation.set(*id);
                    }
                    self.world.record.borrow_mut().ordered(now, self.proxy, &message);
                    queue.borrow_mut().push_back((now + self.delay.get(), message));
                    queued.notify_one();
                }
            }
            ended.set(true);
            queued.notify_one();
            // The planner closed the stream. The messages that it had sent are still delivered.
            std::future::pending::<()>().await;
        };
        let writing = async {
            let mut to = Some(to);
            loop {
                if broken.get() == Some(Break::Half) {
                    to = None;
                }
                let next = queue.borrow_mut().pop_front();
                let Some((due, message)) = next else {
                    if ended.get() {
                        return io::Result::Ok(());
                    }
                    let _ = timeout(Duration::from_millis(20), queued.notified()).await;
                    continue;
                };
                tokio::time::sleep_until(self.world.began() + due).await;
                self.wait_until_released().await;
                let frame = message.to_frame();
                if self.bytes_per_s.get().is_finite() {
                    sleep(Duration::from_secs_f64(frame.len() as f64 / self.bytes_per_s.get())).await;
                }
                let Some(open) = &mut to else { continue };
                match broken.get() {
                    Some(Break::MidFrame) => {
                        open.write_all(&frame[..frame.len() / 2]).await?;
                        return Ok(());
                    }
                    Some(_) => continue,
                    None => open.write_all(&frame).await?,
                }
                let now = self.world.now();
                match &message {
                    Message::Welcome(Welcome { .. }) => {
                        welcomed.set(true);
                        self.world.put(Event::Joined { proxy: self.proxy, start: incarnation.get() });
                    }
                    _ => self.world.record.borrow_mut().delivered(now, self.proxy, &message),
                }
            }
        };
        tokio::select! {
            ended = writing => ended,
            () = reading => Ok(()),
        }
    }

    /// Forwards messages from the proxy to the planner.
    async fn forward_to_planner(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        let mut buffer = [0; 8 << 10];
        loop {
            match from.read(&mut buffer).await? {
                0 => return Ok(()),
                n => decoder.push(&buffer[..n]),
            }
            self.wait_until_released().await;
            while let Ok(Some(message)) = decoder.next_message() {
                if !(self.drops_acks.get() && matches!(message, Message::UpdateAck(UpdateAck { .. }))) {
                    to.write_all(&message.to_frame()).await?;
                }
            }
        }
    }
}
