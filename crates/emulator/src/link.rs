//! The way between one proxy and the planner: delays, slows, holds, breaks, and records what passes.

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

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Break {
    Whole,
    /// After half of the next frame to the proxy.
    MidFrame,
    /// The proxy's end only: the planner is left with a stream that nobody reads.
    Half,
}

pub struct Link {
    world: Rc<World>,
    proxy: u16,
    pub zone: u16,
    pub addr: SocketAddr,
    /// Where planners are; it dials the next after each stream that was not welcomed.
    planners: Rc<RefCell<Vec<SocketAddr>>>,
    turn: Cell<usize>,
    /// Before what the planner sends arrives.
    pub delay: Cell<Duration>,
    /// Of what the planner sends; the rest waits here, as on a slow way.
    pub bytes_per_s: Cell<f64>,
    /// Bytes a second that are read from the planner at all; the rest stays in its own buffers.
    pub reads_per_s: Cell<f64>,
    /// No new stream gets through.
    pub closed: Cell<bool>,
    /// Nothing passes, and nobody is told.
    pub held: Cell<bool>,
    /// What the proxy answers to orders is lost.
    pub unmarked: Cell<bool>,
    breaks: watch::Sender<Option<Break>>,
}

impl Link {
    pub async fn new(
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
            turn: Cell::new(0),
            delay: Cell::new(Duration::ZERO),
            bytes_per_s: Cell::new(f64::INFINITY),
            reads_per_s: Cell::new(f64::INFINITY),
            closed: Cell::new(false),
            held: Cell::new(false),
            unmarked: Cell::new(false),
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
                    let _ = serving.carry(near, &welcomed).await;
                    if !welcomed.get() {
                        serving.look_elsewhere();
                    }
                });
            }
        });
        Ok(link)
    }

    pub fn break_now(&self, how: Break) {
        let _ = self.breaks.send(Some(how));
    }

    /// Dials this one of the planners first.
    pub fn begin_at(&self, turn: usize) {
        self.turn.set(turn);
    }

    /// The planner that it is at does not answer: the next dial goes to another.
    pub fn look_elsewhere(&self) {
        self.turn.set(self.turn.get() + 1);
    }

    fn next_planner(&self) -> io::Result<SocketAddr> {
        let planners = self.planners.borrow();
        let count = planners.len().max(1);
        planners.get(self.turn.get() % count).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    async fn while_held(&self) {
        while self.held.get() {
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn carry(self: &Rc<Self>, near: TcpStream, welcomed: &Cell<bool>) -> io::Result<()> {
        let mut breaks = self.breaks.subscribe();
        breaks.mark_unchanged();
        let far = TcpStream::connect(self.next_planner()?).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (from_proxy, to_proxy) = near.into_split();
        let (from_planner, to_planner) = far.into_split();
        let half = Rc::new(Cell::new(None));
        {
            let down = self.down(from_planner, to_proxy, half.clone(), welcomed);
            let up = self.up(from_proxy, to_planner);
            tokio::pin!(down, up);
            tokio::select! {
                ended = &mut down => drop(ended),
                // What the planner still says goes through, unless the proxy is gone.
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
                            // The planner's end stays open, and is read, for as long as the planner leaves it.
                            let _ = timeout(Duration::from_secs(20), &mut down).await;
                        }
                        _ => {}
                    }
                }
            }
        }
        Ok(())
    }

    /// Planner to proxy.
    async fn down(
        &self,
        mut from: OwnedReadHalf,
        to: OwnedWriteHalf,
        broken: Rc<Cell<Option<Break>>>,
        welcomed: &Cell<bool>,
    ) -> io::Result<()> {
        let queue = RefCell::new(VecDeque::<(Duration, Message)>::new());
        let (came, ended) = (Notify::new(), Cell::new(false));
        let start = Cell::new(0);
        let reading = async {
            let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
            let mut buffer = [0; 8 << 10];
            loop {
                let part = match self.reads_per_s.get() {
                    pace if pace.is_finite() => {
                        sleep(Duration::from_secs_f64(1.0 / pace)).await;
                        1
                    }
                    _ => buffer.len(),
                };
                match from.read(&mut buffer[..part]).await {
                    Ok(n) if n > 0 => inbox.push(&buffer[..n]),
                    _ => break,
                }
                while let Ok(Some(message)) = inbox.next_message() {
                    let now = self.world.now();
                    if let Message::Challenge(Challenge { incarnation: s, .. }) = &message {
                        start.set(*s);
                    }
                    self.world.record.borrow_mut().ordered(now, self.proxy, &message);
                    queue.borrow_mut().push_back((now + self.delay.get(), message));
                    came.notify_one();
                }
            }
            ended.set(true);
            came.notify_one();
            // A planner that closed a stream has nothing more to say; what it said is still delivered.
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
                    let _ = timeout(Duration::from_millis(20), came.notified()).await;
                    continue;
                };
                tokio::time::sleep_until(self.world.began() + due).await;
                self.while_held().await;
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
                        self.world.put(Event::Joined { proxy: self.proxy, start: start.get() });
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

    /// Proxy to planner.
    async fn up(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
        let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
        let mut buffer = [0; 8 << 10];
        loop {
            match from.read(&mut buffer).await? {
                0 => return Ok(()),
                n => inbox.push(&buffer[..n]),
            }
            self.while_held().await;
            while let Ok(Some(message)) = inbox.next_message() {
                if !(self.unmarked.get() && matches!(message, Message::UpdateAck(UpdateAck { .. }))) {
                    to.write_all(&message.to_frame()).await?;
                }
            }
        }
    }
}
