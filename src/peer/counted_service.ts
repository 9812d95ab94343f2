import { PeerService } from "../gen/peer.ts";

/** Receives the encoded size of each message in bytes, without headers and framing. */
export type CountBytes = (
  direction: "sent" | "received",
  bytes: number,
) => void;

/** Returns the peer service with its `send` messages counted on both ends. */
export function countedService(count: CountBytes): typeof PeerService {
  const { send } = PeerService;
  return {
    ...PeerService,
    send: {
      ...send,
      requestSerialize: (envelope) => {
        const bytes = send.requestSerialize(envelope);
        count("sent", bytes.length);
        return bytes;
      },
      requestDeserialize: (bytes) => {
        count("received", bytes.length);
        return send.requestDeserialize(bytes);
      },
    },
  };
}
