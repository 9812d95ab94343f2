import { PeerService } from "../gen/peer.ts";

/** Is told of the size of each message, headers and frames left out. */
export type CountBytes = (
  direction: "sent" | "received",
  bytes: number,
) => void;

/** The service between daemons, with the messages that it delivers counted. */
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
