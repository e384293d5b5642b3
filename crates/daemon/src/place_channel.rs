//! Serves channels for places with the methods that serve JSON-RPC.

use std::sync::Arc;

use futures_util::FutureExt;
use shallotdrum_allotments::{AllotmentReply, Reservation};
use shallotdrum_owner::Upgrade;
use shallotdrum_rpc::{
    AllotmentCall, AllotmentStep, ChannelHandlers, PLACES_PATH, PeerApiServer, PlaceServer,
};
use shallotdrum_telemetry::Metrics;

use crate::peer::Peer;

/// Upgrade of the data address to a channel.
pub(crate) fn upgrade(peer: &Peer, metrics: Metrics, log: slog::Logger) -> Upgrade {
    let server = PlaceServer::new(handlers(peer), metrics, log);
    Upgrade { path: PLACES_PATH, serve: Arc::new(move |req| server.upgrade(req)) }
}

fn handlers(peer: &Peer) -> ChannelHandlers {
    let (taker, ender, allotments) = (peer.clone(), peer.clone(), peer.clone());
    ChannelHandlers {
        take: Box::new(move |request| {
            let peer = taker.clone();
            async move { peer.take_place(request).await }.boxed()
        }),
        end: Box::new(move |session, ended| ender.end(session, ended)),
        allotment: Box::new(move |call| {
            let peer = allotments.clone();
            async move {
                let AllotmentCall { session, request, customer, units, group, step } = call;
                match step {
                    AllotmentStep::Take | AllotmentStep::Reserve { .. } => {
                        let reservation = match step {
                            AllotmentStep::Reserve { id, left_ms } => {
                                Some(Reservation { id, left_ms })
                            }
                            _ => None,
                        };
                        let taken = peer.take_allotment(
                            session,
                            request,
                            customer,
                            units,
                            group,
                            reservation,
                        );
                        taken.await.map(Some)
                    }
                    AllotmentStep::Settle { id, is_used } => {
                        let settled =
                            peer.settle_allotment(session, request, group, id, is_used).await?;
                        Ok(Some(AllotmentReply { granted: settled, ..AllotmentReply::NOT_A_SHARD }))
                    }
                    AllotmentStep::Return => {
                        let returned =
                            peer.return_allotment(session, request, customer, units, group).await;
                        returned.map(|()| None)
                    }
                }
            }
            .boxed()
        }),
    }
}
