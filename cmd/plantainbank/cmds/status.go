package cmds

import (
	"fmt"
	"net/http"
	"strconv"
	"text/tabwriter"

	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	pb "github.com/plantainbank/plantainbank/service/control"
)

func statusCommand() command {
	c := newClient()
	var asJSON bool
	return command{
		path:    "status",
		help:    "Show leader, replicas, entry hosts, availability zones, workspaces and backend servers.",
		options: c.options(option{name: "json", help: "Print JSON.", on: &asJSON}),
		run: func(env *env) error {
			s, err := getStatus(c)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(env, s)
			}
			printStatus(env, s)
			return nil
		},
	}
}

func getStatus(c *client) (*pb.StatusAnswer, error) {
	s := &pb.StatusAnswer{}
	err := c.do(http.MethodGet, "/operator/status", nil, nil, s)
	return s, err
}

func printStatus(env *env, s *pb.StatusAnswer) {
	w := tabwriter.NewWriter(env.out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "leader\t%s\tterm %d\trevision %d\t%d records\t%d steps\n", s.Leader, s.Term, s.Revision, s.Records, s.Steps)
	fmt.Fprintf(w, "usage\twindow %d open\t%d reported\n", s.Windows, s.Reported)
	printReplicas(w, s)
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "host\t%s\t%s\trevision %d\t%s\n", h.Host, h.Zone, h.Revision, pick(h.Live, "live", "lost"))
	}
	for _, z := range s.Zones {
		fmt.Fprintf(w, "zone\t%s\t%s\t%d ordered\t%d backend servers\n", z.Zone, z.State, z.Ordered, z.Backends)
	}
	for _, x := range s.Workspaces {
		fmt.Fprintf(w, "workspace\t%s\tweight %g\t%.1f running or waiting\n", x.Workspace, x.Weight, x.Demand)
	}
	for _, b := range s.Backends {
		a := b.Announced
		fmt.Fprintf(w, "backend\t%s\t%s\t%s\tlimit %d of %d\t%d running\t%s\n", a.Id, a.Zone, a.Pool, b.Limit, a.Bears,
			a.Running, pick(a.Leaving, "leaving", a.Class))
	}
}

func printReplicas(w *tabwriter.Writer, s *pb.StatusAnswer) {
	for _, r := range s.Replicas {
		role := pick(r.Learner, "learner", "voter")
		fmt.Fprintf(w, "replica\t%016x\t%s\t%s\tat %d of %d\n", r.Id, r.Addr, pick(r.Leader, "leader", role), r.Match, s.Commit)
	}
}

func pick(is bool, yes, no string) string {
	if is {
		return yes
	}
	return no
}

func replicaListCommand() command {
	c := newClient()
	return command{
		path:    "replica list",
		help:    "List the control replicas.",
		options: c.options(),
		run: func(env *env) error {
			s, err := getStatus(c)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(env.out, 0, 4, 2, ' ', 0)
			defer w.Flush()
			printReplicas(w, s)
			return nil
		},
	}
}

func changeReplica(env *env, c *client, action, id, addr string) error {
	s := &pb.StatusAnswer{}
	body := map[string]string{"action": action, "id": id, "addr": addr}
	if err := c.do(http.MethodPost, "/operator/replicas", nil, body, s); err != nil {
		return err
	}
	printStatus(env, s)
	return nil
}

func replicaAddCommand() command {
	c := newClient()
	var id, addr string
	return command{
		path:    "replica add",
		help:    "Add a control replica as a learner; it is promoted once it has caught up.",
		detail:  "A replica with an empty data directory requests this itself, so the command is rarely needed.",
		args:    []argument{{"id", "The storage number in hex, from the file \"identity\".", &id}, {"addr", "The replica's address.", &addr}},
		options: c.options(),
		run:     func(env *env) error { return changeReplica(env, c, "add", id, addr) },
	}
}

func replicaRemoveCommand() command {
	c := newClient()
	var id string
	return command{
		path:    "replica remove",
		help:    "Remove a control replica that is lost for good.",
		args:    []argument{{"id", "The storage number in hex.", &id}},
		options: c.options(),
		run:     func(env *env) error { return changeReplica(env, c, "remove", id, "") },
	}
}

func stepShowCommand() command {
	c := newClient()
	var rollout, number string
	return command{
		path:    "step show",
		help:    "Show the progress of a training step.",
		args:    []argument{{"rollout", "The rollout configuration.", &rollout}, {"number", "The step's number.", &number}},
		options: c.options(),
		run: func(env *env) error {
			if _, err := strconv.ParseUint(number, 10, 64); err != nil {
				return &UsageError{Problem: "the number must be a whole number"}
			}
			var s caller.Step
			if err := c.do(http.MethodGet, "/operator/steps/"+rollout+"/"+number, nil, nil, &s); err != nil {
				return err
			}
			return printJSON(env, s)
		},
	}
}
