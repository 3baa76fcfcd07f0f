/** What a crowd of misbehaving clients does. */

/** How each client of a crowd behaves. */
export enum CrowdKind {
    /** Announces a length far over the limit, and sends on and on. */
    AnnouncedEndless = "announcedEndless",
    /** Sends large chunks without end. */
    LargeChunksEndless = "largeChunksEndless",
    /** Sends large chunks, stops just short of the end of its body, and stays. */
    LargeChunksShort = "largeChunksShort",
    /** Sends chunks of one byte without end. */
    TinyChunksEndless = "tinyChunksEndless",
    /** Sends chunks of one byte, stops just short of the end of its body, and stays. */
    TinyChunksShort = "tinyChunksShort",
    /** Announces a length, stops just short of it, and stays. */
    AnnouncedShort = "announcedShort",
    /** Announces a length, and sends the last part of the body a byte at a time. */
    DrippedBody = "drippedBody",
    /** Sends a request that is rejected by its head, with a body without end. */
    RejectedEndless = "rejectedEndless",
    /** Sends bytes that are no request, without end. */
    GarbageEndless = "garbageEndless",
    /** Sends requests one behind another, and reads no answer. */
    RowUnread = "rowUnread",
    /** Sends requests one behind another, and reads the answers. */
    RowRead = "rowRead",
    /** Sends the smallest requests that can be parsed, one behind another. */
    SmallestRow = "smallestRow",
    /** Sends one request, and doesn't read the answer. */
    AnswerUnread = "answerUnread",
    /** Sends a head without its end, and stays. */
    UnfinishedHead = "unfinishedHead",
    /** Sends a head of very many small headers without its end, and stays. */
    TinyHeadersUnfinished = "tinyHeadersUnfinished",
    /** Sends a head with one very large header without its end, and stays. */
    LargeHeaderUnfinished = "largeHeaderUnfinished",
    /** Opens a connection and sends nothing. */
    Silent = "silent",
    /** Sends a request whose answer takes long, and bytes without end behind it. */
    UnreadBehind = "unreadBehind",
    /** Asks for a tunnel, and sends on and on. */
    Tunnel = "tunnel",
    /** Sends datagrams that are no message. */
    Datagrams = "datagrams",
}

/** What the program of a crowd gets. */
export interface CrowdPlan {
    /** `host:port` of the entry. */
    address: string;
    kind: CrowdKind;
    clients: number;
    /** For how long clients send that send without end. */
    milliseconds: number;
    target: string;
    method?: string;
    /** Body of a request in a row. */
    content?: string;
    key: string;
    /** Size of the body, or of the headers. */
    bodyBytes: number;
    /** Whether a client whose connection is closed opens the next one. */
    reconnects?: boolean;
}

/** The line that the program writes once the crowd has sent what it has to send. */
export const crowdSettledLine = "settled";
