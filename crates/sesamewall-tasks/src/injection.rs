//! Panics for tests, in tasks that the environment variable `SESAMEWALL_INJECT_PANIC` names. Without
//! the feature `injected-panics` nothing of it is compiled.

#[cfg(not(feature = "injected-panics"))]
mod disabled {
    use std::fmt::Display;
    use std::future::Future;

    pub(crate) fn check(_name: &str, _subject: &dyn Display) {}

    pub(crate) async fn around<T>(
        _name: &str,
        _subject: &(dyn Display + Sync),
        task: impl Future<Output = T>,
    ) -> T {
        task.await
    }
}

#[cfg(feature = "injected-panics")]
mod enabled {
    use std::fmt::Display;
    use std::future::Future;
    use std::sync::OnceLock;
    use std::sync::atomic::AtomicU32;
    use std::sync::atomic::Ordering;
    use std::time::Duration;
    use std::time::Instant;

    /// Environment variable with the panics, as `NAME:AFTER_MS:COUNT`, separated by commas: the task
    /// or step NAME panics COUNT times from AFTER_MS milliseconds after the first task of the
    /// process on. NAME may be followed by a slash and the subject to which the panics are limited.
    const VARIABLE: &str = "SESAMEWALL_INJECT_PANIC";

    struct Injection {
        name: String,
        due: Instant,
        left: AtomicU32,
    }

    fn parse(text: &str, start: Instant) -> Option<Injection> {
        let mut parts = text.rsplitn(3, ':');
        let left = AtomicU32::new(parts.next()?.parse().ok()?);
        let due = start + Duration::from_millis(parts.next()?.parse().ok()?);
        Some(Injection { name: parts.next()?.to_owned(), due, left })
    }

    fn injection(name: &str, subject: &dyn Display) -> Option<&'static Injection> {
        static INJECTIONS: OnceLock<Vec<Injection>> = OnceLock::new();
        let all = INJECTIONS.get_or_init(|| {
            let (text, start) = (std::env::var(VARIABLE).unwrap_or_default(), Instant::now());
            text.split(',').filter_map(|part| parse(part, start)).collect()
        });
        let is_named = |injection: &&Injection| match injection.name.split_once('/') {
            Some((task, limited)) => task == name && subject.to_string() == limited,
            None => injection.name == name,
        };
        all.iter().find(is_named)
    }

    impl Injection {
        /// Returns whether a panic is left, and takes it.
        fn take(&self) -> bool {
            let take = |left: u32| left.checked_sub(1);
            self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
        }
    }

    pub(crate) fn check(name: &str, subject: &dyn Display) {
        if let Some(injection) = injection(name, subject)
            && Instant::now() >= injection.due
            && injection.take()
        {
            panic!("injected into {name}");
        }
    }

    pub(crate) async fn around<T>(
        name: &str,
        subject: &(dyn Display + Sync),
        task: impl Future<Output = T>,
    ) -> T {
        let Some(injection) = injection(name, subject) else { return task.await };
        let due = async {
            tokio::time::sleep_until(injection.due.into()).await;
            if !injection.take() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            () = due => panic!("injected into {name}"),
            output = task => output,
        }
    }
}

#[cfg(not(feature = "injected-panics"))]
pub(crate) use disabled::around;
#[cfg(not(feature = "injected-panics"))]
pub(crate) use disabled::check;
#[cfg(feature = "injected-panics")]
pub(crate) use enabled::around;
#[cfg(feature = "injected-panics")]
pub(crate) use enabled::check;
