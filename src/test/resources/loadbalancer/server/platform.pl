# Holds a listening socket, and starts a command with it as descriptor 0 for each line that it reads; says the
# socket's port first. What it has started is ended with it.
use strict;
use Socket;
$| = 1;
$SIG{CHLD} = "IGNORE";      # else those that end stay as zombies, and count as alive
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die $!;
bind($listener, sockaddr_in(0, INADDR_LOOPBACK)) or die $!;
listen($listener, 128) or die $!;
my ($port) = sockaddr_in(getsockname($listener));
print "port $port\n";
my @started;
while (my $line = <STDIN>) {
    chomp $line;
    my $pid = fork();
    if (!$pid) {
        open(STDIN, "<&", $listener) or die $!;
        exec("/bin/sh", "-c", "exec $line") or die $!;
    }
    push @started, $pid;
    print "started $pid\n";
}
kill "KILL", @started;
